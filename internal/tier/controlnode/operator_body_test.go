package controlnode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/membudget"
	"larchrouter/internal/process"
)

// orderServer serves the bodies of orders as a core node does, with this budget, and answers how long they were.
func orderServer(t *testing.T, memory *membudget.Budget) (s *Server, addr string) {
	t.Helper()
	s = &Server{settings: &process.Settings{}, memory: memory}
	s.settings.Limits.MemoryMB = 16
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		order := s.newOrderBody(w, r)
		defer order.release()
		body, err := order.read(s.maxConfigBody())
		if err != nil {
			writeBodyError(w, err, "it did not come whole")
			return
		}
		fmt.Fprint(w, len(body))
	}))
	t.Cleanup(func() {
		h.Close()
		if usage := memory.Usage(); usage.Used != 0 || usage.Accounts != 0 {
			t.Errorf("at the end %+v is held", usage)
		}
	})
	return s, h.Listener.Addr().String()
}

// sendOrder sends a body, or only the beginning of it, with its length, and returns the connection.
func sendOrder(t *testing.T, addr string, length int, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, "PUT /api/config HTTP/1.1\r\nHost: core\r\nContent-Length: %d\r\n\r\n%s", length, body)
	return c
}

// statusOf reads a response.
func statusOf(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	b, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(b)
}

// An order that has stalled is answered 503 once another one needs the memory, which is read completely.
func TestStalledOrderGivesWay(t *testing.T) {
	memory := membudget.New(membudget.Options{Limit: 400 << 10, Small: 20 << 10})
	_, addr := orderServer(t, memory)
	stalled := sendOrder(t, addr, 200_000, strings.Repeat("x", 199_999))
	for deadline := time.Now().Add(10 * time.Second); memory.Usage().Used < 200_000; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v is held", memory.Usage())
		}
	}
	const size = 100_000 // with its copies over what the stalled one leaves
	if status, body := statusOf(t, sendOrder(t, addr, size, strings.Repeat("x", size))); status != http.StatusOK || body != fmt.Sprint(size) {
		t.Errorf("the order got %d %s", status, body)
	}
	if status, body := statusOf(t, stalled); status != http.StatusServiceUnavailable || !strings.Contains(body, "memory") {
		t.Errorf("the stalled order got %d %s", status, body)
	}
}

// An order over the limit is answered 413 with the limit, whether its length is announced or not; the limit follows from
// memory_mb, and one at the limit, alone, has room with its copies.
func TestOrderLimitFollowsFromMemory(t *testing.T) {
	settings := &process.Settings{}
	settings.Limits.MemoryMB = 16 // as that of the server
	s, addr := orderServer(t, settings.RequestMemory(process.SmallOrder))
	if s.maxConfigBody() != 1<<20 {
		t.Fatalf("the limit is %d", s.maxConfigBody())
	}
	if status, body := statusOf(t, sendOrder(t, addr, 1<<20+1, "")); status != http.StatusRequestEntityTooLarge || !strings.Contains(body, "1048576") {
		t.Errorf("an announced one got %d %s", status, body)
	}
	response, err := http.Post("http://"+addr, "", io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20+1))))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("one in chunks got %d", response.StatusCode)
	}
	if status, body := statusOf(t, sendOrder(t, addr, 1<<20, strings.Repeat("x", 1<<20))); status != http.StatusOK || body != "1048576" {
		t.Errorf("one at the limit got %d %s", status, body)
	}
	response, err = http.Post("http://"+addr, "", io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20))))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("one at the limit in chunks got %d", response.StatusCode)
	}
	http.DefaultClient.CloseIdleConnections()
}
