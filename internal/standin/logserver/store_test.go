package logserver_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

// mustAppend appends records with the given data.
func mustAppend(t *testing.T, log platformlog.Log, data ...string) {
	t.Helper()
	for _, d := range data {
		testkit.Value(log.Append(t.Context(), "s", []byte(d)))(t)
	}
}

// checkRead reads from the stream and compares the result with the wanted text, such as
// "3:c 4:d next 5 earliest 3 end 4".
func checkRead(t *testing.T, log platformlog.Log, from platformlog.Offset, limit int, want string) {
	t.Helper()
	batch, err := log.Read(t.Context(), "s", from, limit, 0)
	got := ""
	for _, record := range batch.Records {
		got += fmt.Sprintf("%d:%s ", record.Offset, record.Data)
	}
	got += fmt.Sprintf("next %d earliest %d end %d", batch.Next, batch.Earliest, batch.End)
	if errors.Is(err, platformlog.ErrTrimmed) {
		got += " trimmed"
	}
	testkit.That(t, got == want, "read from %d:\n got %s\nwant %s", from, got, want)
}

// The store in memory and the client over HTTP must return the same results.
func TestStoreAndHTTPClientReadAlike(t *testing.T) {
	inMemory := logserver.New(logserver.Config{MaxRecords: 3})
	server := httptest.NewServer(logserver.Handler(logserver.New(logserver.Config{MaxRecords: 3})))
	defer server.Close()
	logs := map[string]platformlog.Log{
		"memory": inMemory,
		"HTTP":   platformlog.NewClient(server.URL, nil).WithName("vm1"),
	}
	for name, log := range logs {
		t.Run(name, func(t *testing.T) {
			checkRead(t, log, 0, 10, "next 1 earliest 1 end 0")
			mustAppend(t, log, "a", "b")
			checkRead(t, log, 0, 10, "1:a 2:b next 3 earliest 1 end 2")
			checkRead(t, log, 1, 1, "1:a next 2 earliest 1 end 2")
			checkRead(t, log, 3, 10, "next 3 earliest 1 end 2")
			mustAppend(t, log, "c", "d")
			checkRead(t, log, 2, 10, "2:b 3:c 4:d next 5 earliest 2 end 4")
			checkRead(t, log, 1, 10, "next 1 earliest 2 end 4 trimmed")
			_, err := log.Append(t.Context(), "s", make([]byte, logserver.MaxRecordBytes+1))
			testkit.That(t, errors.Is(err, platformlog.ErrTooLarge) && errors.Is(err, platformlog.ErrUnavailable),
				"record above MaxRecordBytes: got %v", err)
		})
	}
}

func TestRetentionByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{MaxAge: time.Minute})
		mustAppend(t, log, "a")
		time.Sleep(40 * time.Second)
		mustAppend(t, log, "b")
		time.Sleep(40 * time.Second)
		checkRead(t, log, 2, 10, "2:b next 3 earliest 2 end 2")
		time.Sleep(40 * time.Second)
		checkRead(t, log, 2, 10, "next 2 earliest 3 end 2 trimmed")
		checkRead(t, log, 3, 10, "next 3 earliest 3 end 2")
	})
}

func TestReadWaitsForAppendOrOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{})
		start := time.Now()
		time.AfterFunc(2*time.Second, func() { mustAppend(t, log, "a") })
		batch, err := log.Read(t.Context(), "s", 1, 10, 5*time.Second)
		testkit.That(t, err == nil && len(batch.Records) == 1 && time.Since(start) == 2*time.Second,
			"read that an append ends: %v, %v after %v", batch, err, time.Since(start))
		batch, err = log.Read(t.Context(), "s", 2, 10, 5*time.Second)
		testkit.That(t, err == nil && len(batch.Records) == 0 && time.Since(start) == 7*time.Second,
			"read without an append: %v, %v after %v", batch, err, time.Since(start))
		time.AfterFunc(time.Second, func() { log.Faults().Set(faults.Settings{Outage: true}) })
		_, err = log.Read(t.Context(), "s", 2, 10, 5*time.Second)
		testkit.That(t, errors.Is(err, platformlog.ErrUnavailable) && time.Since(start) == 8*time.Second,
			"outage while waiting: %v after %v", err, time.Since(start))
	})
}

func TestAppendsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{AppendsPerSecond: 10, Burst: 2})
		mustAppend(t, log, "a", "b")
		testkit.WantError(t, "above the append rate", testkit.Err(log.Append(t.Context(), "s", nil)), platformlog.ErrUnavailable)
		time.Sleep(100 * time.Millisecond)
		mustAppend(t, log, "c")
		checkRead(t, log, 1, 10, "1:a 2:b 3:c next 4 earliest 1 end 3")
	})
}

// A fault of one client must not affect another. A disconnected client stores
// nothing; a client whose answer is lost stores its record without learning so.
func TestFaultsAffectOnlyTheirClient(t *testing.T) {
	log := logserver.New(logserver.Config{})
	one, two := log.View("one"), log.View("two")
	one.Disconnect()
	testkit.WantError(t, "disconnected", testkit.Err(one.Append(t.Context(), "s", []byte("a"))), platformlog.ErrUnavailable)
	mustAppend(t, two, "b")
	one.Faults().Set(faults.Settings{LoseAnswers: 1})
	testkit.WantError(t, "answer lost", testkit.Err(one.Append(t.Context(), "s", []byte("c"))), platformlog.ErrOutcomeUnknown)
	mustAppend(t, one, "d")
	checkRead(t, two, 1, 10, "1:b 2:c 3:d next 4 earliest 1 end 3")
}

// The log is slow and the caller times out. Its record is stored later, after a
// record that another caller appended in the meantime.
func TestSlowAppendIsStoredAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{})
		slow := log.View("slow")
		slow.Faults().Set(faults.Settings{SlowMS: 3000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		testkit.WantError(t, "caller timed out", testkit.Err(slow.Append(ctx, "s", []byte("late"))), platformlog.ErrOutcomeUnknown)
		mustAppend(t, log, "soon")
		checkRead(t, log, 1, 10, "1:soon next 2 earliest 1 end 1")
		time.Sleep(3 * time.Second)
		checkRead(t, log, 1, 10, "1:soon 2:late next 3 earliest 1 end 2")
	})
}

// The lost answers depend only on the seed, so that a failing run can be repeated.
func TestLostAnswersRepeatBySeed(t *testing.T) {
	draw := func(seed uint64) string {
		log := logserver.New(logserver.Config{Seed: seed})
		log.Faults().Set(faults.Settings{LoseProbability: 0.3})
		pattern := ""
		for range 64 {
			_, err := log.Append(t.Context(), "s", nil)
			pattern += map[bool]string{true: "-", false: "x"}[err == nil]
		}
		return pattern
	}
	first, again, other := draw(7), draw(7), draw(8)
	testkit.That(t, first == again && first != other, "the lost answers don't follow the seed: %s / %s / %s", first, again, other)
}
