package controlnode

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkPut measures the time from an operator's PUT at the head to its 200, over sockets and with real syncs, for
// several numbers of core nodes. It reports the median and the 95th percentile.
func BenchmarkPut(b *testing.B) {
	for _, nodes := range []int{3, 4, 5, 8} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			c := newCluster(b, nodes)
			if status := c.put(1, 0, 0); status != http.StatusOK {
				b.Fatal(status)
			}
			time.Sleep(3 * time.Second) // until all nodes have votes and are members or learners
			var took []time.Duration
			version := 1
			b.ResetTimer()
			for b.Loop() {
				began := time.Now()
				if status := c.put(version+1, version, 0); status != http.StatusOK {
					b.Fatal(status)
				}
				took = append(took, time.Since(began))
				version++
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(took[len(took)*95/100].Microseconds())/1000, "ms-p95")
		})
	}
}
