package lossreport

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const testLog = `t=0.100 msg="tables complete" index=3
front-1 12.001 | t=2.500 msg="request lost" cause=host_broke_off kind=non_idempotent route=orders service=shop host=i-1 status=502 ms=30 attempts=1 omitted=0
t=2.700 msg="request lost" cause=host_broke_off kind=non_idempotent route=orders service=shop host=i-1 status=502 ms=50 attempts=1 omitted=4
t=9.000 msg="request lost" cause=no_room kind=streaming route=turns service=engine host="" status=503 ms=60 attempts=0 omitted=0
t=3.000 msg="request late" cause=queue kind=streaming route=turns service=engine host=i-2 status=200 ms=400 open=3 queue=300 tried=0 call=97 attempts=1 omitted=0
t=3.000 msg="the request lost its way"
t=4 msg="request lost" cause="unterminated
`

func TestReportCountsByCauseRouteAndTime(t *testing.T) {
	r := New(2 * time.Second)
	if err := r.Read(strings.NewReader(testLog)); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := r.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	const want = `WHAT  CAUSE           KIND            ROUTE   STATUS  COUNT  MEDIAN MS  BY 2s
lost  host_broke_off  non_idempotent  orders  502     2      50         1:2
lost  no_room         streaming       turns   503     1      60         4:1
late  queue           streaming       turns   200     1      400        1:1

HOST  SERVICE  LOST  LATE
i-1   shop     2     0
i-2   engine   0     1

4 more lines were left out by the fronts
`
	if out.String() != want {
		t.Errorf("the table is\n%s\nwant\n%s", out.String(), want)
	}
}

func TestReportOfAnEmptyLog(t *testing.T) {
	r := New(time.Second)
	if err := r.Read(strings.NewReader("")); err != nil || len(r.Rows()) != 0 || len(r.Hosts()) != 0 {
		t.Errorf("%v, %v, %v", r.Rows(), r.Hosts(), err)
	}
}

func TestReportRefusesEndlessLines(t *testing.T) {
	if err := New(time.Second).Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil {
		t.Error("no error")
	}
}
