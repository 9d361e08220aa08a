// Package compare benchmarks the journal and libraries that could replace it, on the same records.
package compare

import (
	"database/sql"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"
	_ "modernc.org/sqlite"

	"larchrouter/internal/relay/journal"
)

// store records messages as a relay does: each step accepts, attempts and completes ten of them. Nothing is synced:
// what write(2) took is what the platform's level asks for.
type store interface {
	take(n int, ids []string, body []byte) error
	try(ids []string) error
	end(ids []string) error
	close() error
}

type journalStore struct{ *journal.Journal }

func (s journalStore) all(ids []string, of func(id string) journal.Record) error {
	recs := make([]journal.Record, 0, len(ids))
	for _, id := range ids {
		recs = append(recs, of(id))
	}
	return s.Append(recs...)
}

func (s journalStore) take(n int, ids []string, body []byte) error {
	return s.all(ids, func(id string) journal.Record {
		return journal.Record{Op: journal.OpTaken, Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: int64(n), Body: body}}
	})
}

func (s journalStore) try(ids []string) error {
	return s.all(ids, func(id string) journal.Record { return journal.Record{Op: journal.OpTry, ID: id, At: 5, Wait: 300} })
}

func (s journalStore) end(ids []string) error {
	return s.all(ids, func(id string) journal.Record { return journal.Record{Op: journal.OpForget, ID: id} })
}

func (s journalStore) close() error { return s.Close() }

// The other stores keep an entry under its id, and under a second key what an attempt changes.
var tried = []byte("tried 5 300")

type boltStore struct{ db *bbolt.DB }

func (s boltStore) all(ids []string, do func(b *bbolt.Bucket, id []byte) error) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists([]byte("m"))
		for _, id := range ids {
			if err == nil {
				err = do(b, []byte(id))
			}
		}
		return err
	})
}

func (s boltStore) take(_ int, ids []string, body []byte) error {
	return s.all(ids, func(b *bbolt.Bucket, id []byte) error { return b.Put(id, body) })
}

func (s boltStore) try(ids []string) error {
	return s.all(ids, func(b *bbolt.Bucket, id []byte) error { return b.Put(append(id, '!'), tried) })
}

func (s boltStore) end(ids []string) error {
	return s.all(ids, func(b *bbolt.Bucket, id []byte) error {
		if err := b.Delete(id); err != nil {
			return err
		}
		return b.Delete(append(id, '!'))
	})
}

func (s boltStore) close() error { return s.db.Close() }

type pebbleStore struct{ db *pebble.DB }

func (s pebbleStore) all(ids []string, do func(b *pebble.Batch, id []byte) error) error {
	b := s.db.NewBatch()
	for _, id := range ids {
		if err := do(b, []byte(id)); err != nil {
			return err
		}
	}
	return b.Commit(pebble.NoSync)
}

func (s pebbleStore) take(_ int, ids []string, body []byte) error {
	return s.all(ids, func(b *pebble.Batch, id []byte) error { return b.Set(id, body, nil) })
}

func (s pebbleStore) try(ids []string) error {
	return s.all(ids, func(b *pebble.Batch, id []byte) error { return b.Set(append(id, '!'), tried, nil) })
}

func (s pebbleStore) end(ids []string) error {
	return s.all(ids, func(b *pebble.Batch, id []byte) error {
		if err := b.Delete(id, nil); err != nil {
			return err
		}
		return b.Delete(append(id, '!'), nil)
	})
}

func (s pebbleStore) close() error { return s.db.Close() }

type sqlStore struct{ db *sql.DB }

func (s sqlStore) all(query string, ids []string, args ...any) error {
	tx, err := s.db.Begin()
	if err != nil {
		return err
	}
	defer tx.Rollback()
	st, err := tx.Prepare(query)
	if err != nil {
		return err
	}
	defer st.Close()
	for _, id := range ids {
		if _, err := st.Exec(append(args, id)...); err != nil {
			return err
		}
	}
	return tx.Commit()
}

func (s sqlStore) take(_ int, ids []string, body []byte) error {
	return s.all("insert into m (body, id) values (?, ?)", ids, body)
}
func (s sqlStore) try(ids []string) error { return s.all("update m set tried = 5 where id = ?", ids) }
func (s sqlStore) end(ids []string) error { return s.all("delete from m where id = ?", ids) }
func (s sqlStore) close() error           { return s.db.Close() }

var stores = []struct {
	name string
	open func(dir string) (store, error)
}{
	{"journal", func(dir string) (store, error) {
		j, err := journal.Open(dir, journal.Options{Budget: 3_000_000})
		return journalStore{j}, err
	}},
	{"bbolt", func(dir string) (store, error) {
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{NoSync: true, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType, NoGrowSync: true})
		return boltStore{db}, err
	}},
	{"pebble", func(dir string) (store, error) {
		db, err := pebble.Open(dir, &pebble.Options{MemTableSize: 256 << 10, Logger: quiet{}})
		return pebbleStore{db}, err
	}},
	{"sqlite", func(dir string) (store, error) {
		db, err := sql.Open("sqlite", filepath.Join(dir, "db")+"?_pragma=journal_mode(wal)&_pragma=synchronous(off)&_pragma=wal_autocheckpoint(200)")
		if err == nil {
			db.SetMaxOpenConns(1)
			_, err = db.Exec("create table m (id text primary key, body blob, tried int) without rowid")
		}
		return sqlStore{db}, err
	}},
}

type quiet struct{}

func (quiet) Infof(string, ...any)         {}
func (quiet) Errorf(string, ...any)        {}
func (quiet) Fatalf(f string, args ...any) { panic(fmt.Sprintf(f, args...)) }

// size is what a folder's files take.
func size(dir string) (sum int64) {
	filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			if info, err := e.Info(); err == nil {
				sum += info.Size()
			}
		}
		return nil
	})
	return sum
}

// BenchmarkStores runs steps of ten messages with others pending: small bodies, and large ones of changing sizes. It reports the
// time for a record, the longest step, the most that the files took, and the heap in use at the end.
func BenchmarkStores(b *testing.B) {
	for _, load := range []struct{ held, least, most int }{{1000, 300, 300}, {50, 1000, 40_000}} {
		for _, s := range stores {
			b.Run(fmt.Sprintf("held-%d-bodies-%d/%s", load.held, load.most, s.name), func(b *testing.B) {
				dir := b.TempDir()
				st, err := s.open(dir)
				if err != nil {
					b.Fatal(err)
				}
				r := rand.New(rand.NewPCG(1, 1))
				body := func() []byte { return make([]byte, load.least+r.IntN(load.most-load.least+1)) }
				var held []string
				for i := range load.held {
					held = append(held, fmt.Sprint("held-", i))
					if err := st.take(0, held[i:], body()); err != nil {
						b.Fatal(err)
					}
				}
				var longest time.Duration
				var most int64
				ids := make([]string, 10)
				b.ResetTimer()
				for n := range b.N {
					for i := range ids {
						ids[i] = fmt.Sprint("m", n, "-", i)
					}
					one := body()
					begin := time.Now()
					for _, err := range []error{st.take(n, ids, one), st.try(ids), st.end(ids)} {
						if err != nil {
							b.Fatal(err)
						}
					}
					longest = max(longest, time.Since(begin))
					if n%20 == 0 {
						b.StopTimer()
						most = max(most, size(dir))
						b.StartTimer()
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(30*b.N)/1000, "us/record")
				b.ReportMetric(float64(longest.Microseconds())/1000, "ms-longest")
				b.ReportMetric(float64(most)/1e6, "MB-files")
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(m.HeapInuse)/1e6, "MB-heap")
				if err := st.close(); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}
