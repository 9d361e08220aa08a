// Package lossreport reads the logs of fronts and counts which requests were lost or late, by cause, route and time, and at which
// hosts. It reads the lines "request lost" and "request late" that package proxy writes, whatever stands before them on a line, and
// passes over all other lines.
package lossreport

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Messages of the lines.
const (
	MessageLost = "request lost"
	MessageLate = "request late"
)

const (
	maxLineBytes = 1 << 20
	topHosts     = 10 // that WriteTable lists
)

// Key is what requests are counted by.
type Key struct {
	Message string `json:"message"` // MessageLost or MessageLate
	Cause   string `json:"cause"`
	Kind    string `json:"kind"` // of the route
	Route   string `json:"route"`
	Status  int    `json:"status"` // 0 if the connection ended without a response
}

// Row is the requests of one Key.
type Row struct {
	Key
	Count    int         `json:"count"`
	MedianMs int         `json:"median_ms"` // from the request's first byte to its end, or to the first byte of its response
	ByBucket map[int]int `json:"by_bucket"` // count by number of the bucket of time
	took     []int
}

// HostRow is the losses at one host.
type HostRow struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	Lost    int    `json:"lost"`
	Late    int    `json:"late"`
}

// Report is the counts of any number of logs.
type Report struct {
	Bucket  time.Duration // of time since the start of the process that wrote a line
	Omitted int           // lines that fronts have left out
	rows    map[Key]*Row
	hosts   map[string]*HostRow
}

// New returns an empty report with buckets of a length above 0.
func New(bucket time.Duration) *Report {
	return &Report{Bucket: bucket, rows: map[Key]*Row{}, hosts: map[string]*HostRow{}}
}

// Read adds the lines of a log.
func (r *Report) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		r.addLine(lines.Text())
	}
	return errors.Wrap(lines.Err(), "read the log: give one with lines of at most 1 MiB")
}

// addLine adds a line if it is one of a request.
func (r *Report) addLine(line string) {
	if !strings.Contains(line, MessageLost) && !strings.Contains(line, MessageLate) {
		return
	}
	start := strings.Index(line, "t=")
	if start < 0 {
		return
	}
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(strings.NewReader(line[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if message := fields["msg"]; decoder.Err() == nil && (message == MessageLost || message == MessageLate) {
		r.add(fields)
	}
}

func (r *Report) add(fields map[string]string) {
	number := func(name string) int {
		n, _ := strconv.Atoi(fields[name])
		return n
	}
	key := Key{Message: fields["msg"], Cause: fields["cause"], Kind: fields["kind"], Route: fields["route"], Status: number("status")}
	row := r.rows[key]
	if row == nil {
		row = &Row{Key: key, ByBucket: map[int]int{}}
		r.rows[key] = row
	}
	seconds, _ := strconv.ParseFloat(fields["t"], 64)
	row.Count++
	row.took = append(row.took, number("ms"))
	row.ByBucket[int(seconds/r.Bucket.Seconds())]++
	r.Omitted += number("omitted")
	r.addHost(fields["host"], fields["service"], key.Message)
}

func (r *Report) addHost(id, service, message string) {
	if id == "" {
		return
	}
	host := r.hosts[id]
	if host == nil {
		host = &HostRow{Host: id, Service: service}
		r.hosts[id] = host
	}
	if message == MessageLost {
		host.Lost++
	} else {
		host.Late++
	}
}

// Rows returns the counts: lost requests first, then by falling count.
func (r *Report) Rows() []Row {
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		slices.Sort(row.took)
		row.MedianMs = row.took[len(row.took)/2]
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Message, a.Message), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Status, b.Status))
	})
	return rows
}

// Hosts returns the hosts at which requests were lost or late, by falling number of lost ones.
func (r *Report) Hosts() []HostRow {
	var hosts []HostRow
	for _, host := range r.hosts {
		hosts = append(hosts, *host)
	}
	slices.SortFunc(hosts, func(a, b HostRow) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(b.Late, a.Late), cmp.Compare(a.Host, b.Host))
	})
	return hosts
}

// WriteTable writes the report for a reader: the counts, and the hosts with the most losses.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "WHAT\tCAUSE\tKIND\tROUTE\tSTATUS\tCOUNT\tMEDIAN MS\tBY %s\n", r.Bucket)
	for _, row := range r.Rows() {
		what := strings.TrimPrefix(row.Message, "request ")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", what, row.Cause, row.Kind, row.Route, row.Status, row.Count, row.MedianMs, row.buckets())
	}
	fmt.Fprintf(w, "\nHOST\tSERVICE\tLOST\tLATE\n")
	for _, host := range r.Hosts()[:min(topHosts, len(r.hosts))] {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", host.Host, host.Service, host.Lost, host.Late)
	}
	if r.Omitted > 0 {
		fmt.Fprintf(w, "\n%d more lines were left out by the fronts\n", r.Omitted)
	}
	return w.Flush()
}

// buckets returns the counts by bucket as NUMBER:COUNT.
func (r *Row) buckets() string {
	var parts []string
	for _, bucket := range slices.Sorted(maps.Keys(r.ByBucket)) {
		parts = append(parts, fmt.Sprintf("%d:%d", bucket, r.ByBucket[bucket]))
	}
	return strings.Join(parts, " ")
}
