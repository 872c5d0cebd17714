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

// check reads all of the stream and compares it with the wanted text, such as
// "3:c 4:d next 5 earliest 3 end 4".
func check(t *testing.T, log platformlog.Log, from platformlog.Offset, limit int, want string) {
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

// The store and the client over HTTP must be the same log to their user.
func TestReadsInMemoryAndOverHTTP(t *testing.T) {
	inMemory := logserver.New(logserver.Config{MaxRecords: 3})
	server := httptest.NewServer(logserver.Handler(logserver.New(logserver.Config{MaxRecords: 3})))
	defer server.Close()
	logs := map[string]platformlog.Log{
		"memory": inMemory,
		"HTTP":   platformlog.NewClient(server.URL, nil).WithName("vm1"),
	}
	for name, log := range logs {
		t.Run(name, func(t *testing.T) {
			check(t, log, 0, 10, "next 1 earliest 1 end 0")
			mustAppend(t, log, "a", "b")
			check(t, log, 0, 10, "1:a 2:b next 3 earliest 1 end 2")
			check(t, log, 1, 1, "1:a next 2 earliest 1 end 2")
			check(t, log, 3, 10, "next 3 earliest 1 end 2")
			mustAppend(t, log, "c", "d")
			check(t, log, 2, 10, "2:b 3:c 4:d next 5 earliest 2 end 4")
			check(t, log, 1, 10, "next 1 earliest 2 end 4 trimmed")
			_, err := log.Append(t.Context(), "s", make([]byte, logserver.MaxRecordBytes+1))
			testkit.That(t, errors.Is(err, platformlog.ErrTooLarge) && errors.Is(err, platformlog.ErrUnavailable),
				"too large a record: got %v", err)
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
		check(t, log, 2, 10, "2:b next 3 earliest 2 end 2")
		time.Sleep(40 * time.Second)
		check(t, log, 2, 10, "next 2 earliest 3 end 2 trimmed")
		check(t, log, 3, 10, "next 3 earliest 3 end 2")
	})
}

func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{})
		start := time.Now()
		time.AfterFunc(2*time.Second, func() { mustAppend(t, log, "a") })
		batch, err := log.Read(t.Context(), "s", 1, 10, 5*time.Second)
		testkit.That(t, err == nil && len(batch.Records) == 1 && time.Since(start) == 2*time.Second,
			"woken: %v, %v after %v", batch, err, time.Since(start))
		batch, err = log.Read(t.Context(), "s", 2, 10, 5*time.Second)
		testkit.That(t, err == nil && len(batch.Records) == 0 && time.Since(start) == 7*time.Second,
			"not woken: %v, %v after %v", batch, err, time.Since(start))
		time.AfterFunc(time.Second, func() { log.Faults().Set(faults.Settings{Outage: true}) })
		_, err = log.Read(t.Context(), "s", 2, 10, 5*time.Second)
		testkit.That(t, errors.Is(err, platformlog.ErrUnavailable) && time.Since(start) == 8*time.Second,
			"outage while waiting: %v after %v", err, time.Since(start))
	})
}

func TestAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{AppendsPerSecond: 10, Burst: 2})
		mustAppend(t, log, "a", "b")
		testkit.WantError(t, "beyond the rate", testkit.Err(log.Append(t.Context(), "s", nil)), platformlog.ErrUnavailable)
		time.Sleep(100 * time.Millisecond)
		mustAppend(t, log, "c")
		check(t, log, 1, 10, "1:a 2:b 3:c next 4 earliest 1 end 3")
	})
}

// One client is cut off, or its answers get lost, while the other goes on: the
// cut one stores nothing, the one without answers stores without knowing.
func TestFaultsOfOneClient(t *testing.T) {
	log := logserver.New(logserver.Config{})
	one, two := log.View("one"), log.View("two")
	one.Cut()
	testkit.WantError(t, "cut off", testkit.Err(one.Append(t.Context(), "s", []byte("a"))), platformlog.ErrUnavailable)
	mustAppend(t, two, "b")
	one.Faults().Set(faults.Settings{LoseAnswers: 1})
	testkit.WantError(t, "answer lost", testkit.Err(one.Append(t.Context(), "s", []byte("c"))), platformlog.ErrOutcomeUnknown)
	mustAppend(t, one, "d")
	check(t, two, 1, 10, "1:b 2:c 3:d next 4 earliest 1 end 3")
}

// The log is slow and the caller gives up first; its record lands afterwards,
// behind a record that was appended later.
func TestSlowAppendLandsAfterItsCallerGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logserver.New(logserver.Config{})
		slow := log.View("slow")
		slow.Faults().Set(faults.Settings{SlowMS: 3000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		testkit.WantError(t, "gave up", testkit.Err(slow.Append(ctx, "s", []byte("late"))), platformlog.ErrOutcomeUnknown)
		mustAppend(t, log, "soon")
		check(t, log, 1, 10, "1:soon next 2 earliest 1 end 1")
		time.Sleep(3 * time.Second)
		check(t, log, 1, 10, "1:soon 2:late next 3 earliest 1 end 2")
	})
}

// Each share of lost answers follows the seed, so a failing run can be repeated.
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
	testkit.That(t, first == again && first != other, "the draws don't follow the seed: %s / %s / %s", first, again, other)
}
