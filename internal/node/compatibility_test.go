package node

import (
	"encoding/hex"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewspool/internal/lead"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// productionRecords are records and messages as the version in production wrote them
// (deploy/service.toml), in hexadecimal.
func productionRecords(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/production-records.txt")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		name, value, _ := strings.Cut(line, " ")
		b, err := hex.DecodeString(value)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = b
	}
	return out
}

func productionJob() wire.Job {
	return wire.Job{ID: "wk-000412", Class: "train", Team: "vision", Shape: wire.Gang, Rank: 2, Tasks: 16, Cores: 8, GPUs: 1, Memory: 64,
		Image: "img-07", ImageGb: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, Estimate: 240, Mark: 30, Save: 4, Deadline: 900}
}

// Records of the version in production are read as they were meant, and written the same by
// this one where they hold nothing new: a record that goes to and fro loses nothing.
func TestProductionRecordsAreRead(t *testing.T) {
	records := productionRecords(t)
	for name, want := range map[string]any{
		"job":      &part.JobRecord{W: "n0.1f.7", Job: productionJob(), At: 1700000000.25, Rank: 5, Chunk: 4, Parts: []int{0, 2, 1, 0}, Anywhere: true},
		"progress": &part.Progress{W: "n0.1f.8", Done: [][2]int{{0, 3}, {7, 9}}, Running: 4, On: []string{"i-000001", "i-000002"}, Against: 0.5},
		"final":    &part.Final{W: "n0.1f.9", Status: wire.Withdrawn, Tasks: 16, At: 1700000009.5},
		"roster":   &part.Roster{W: "n0.1f.a", Machines: []part.MachineRecord{{ID: "i-000001", Part: 2, Address: "10.1.0.2:9000", Type: "g8", Zone: "a", Spot: true, Own: true}}},
		"owner":    &lead.Owner{W: "n0.1f.b", Host: "n1", Token: 41 << 20, Until: 1700000026, Forced: true},
	} {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := wire.Decode(records[name], got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, %v, want %+v", name, got, err, want)
		}
		if b := wire.Encode(want); !slices.Equal(b, records[name]) {
			t.Errorf("%s: written as %x, by production as %x", name, b, records[name])
		}
	}
}

// Messages of the version in production are read, and say nothing of a version.
func TestProductionMessagesAreRead(t *testing.T) {
	records := productionRecords(t)
	read := func(name string) *mesh.Envelope {
		e := &mesh.Envelope{}
		if err := proto.Unmarshal(records[name], e); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return e
	}
	st := read("status").GetStatus()
	if !st.GetReady() || st.GetVersion() != 0 || st.GetStateAgeMs() != 120 || len(st.GetParts()) != 1 || st.GetParts()[0].GetFree()[0].GetMachine() != "i-000001" || st.GetGaps()[0].GetTasks() != 16 {
		t.Errorf("status read as %v", st)
	}
	var job wire.Job
	if err := wire.Decode(read("ask").GetAsk().GetJob(), &job); err != nil || !reflect.DeepEqual(job, productionJob()) {
		t.Errorf("ask read as %+v, %v", job, err)
	}
	if news := read("news").GetNews(); news.GetJob() != "wk-000412" || !news.GetWithdrawn() {
		t.Errorf("news read as %v", news)
	}
}

// oldJobRecord is what the version in production reads of a job, frozen.
type oldJobRecord struct {
	W   string `cbor:"w"`
	Job struct {
		ID       string  `cbor:"id"`
		Tasks    int     `cbor:"n"`
		Rank     int     `cbor:"rk"`
		Estimate float64 `cbor:"es"`
		Deadline float64 `cbor:"dl"`
	} `cbor:"j"`
	At       float64 `cbor:"at"`
	Rank     int     `cbor:"r"`
	Chunk    int     `cbor:"ch"`
	Parts    []int   `cbor:"p"`
	Anywhere bool    `cbor:"an,omitempty"`
}

// oldFinal likewise: the fields that it acts on.
type oldFinal struct {
	Status string `cbor:"s"`
	Tasks  int    `cbor:"n"`
}

// The version in production reads what this one writes: a job that waits has no part, so it
// takes it for nobody's; one that was released is like any other; the end of one that went
// with another is a cancellation.
func TestProductionReadsNewRecords(t *testing.T) {
	waiting := &part.JobRecord{W: "n", Job: productionJob(), At: 1000}
	waiting.Job.Needs = []string{"wk-1", "wk-2"}
	if !waiting.Waits() {
		t.Fatal("it does not wait")
	}
	var old oldJobRecord
	if err := wire.Decode(wire.Encode(waiting), &old); err != nil || len(old.Parts) != 0 || old.Job.ID != "wk-000412" || old.Job.Tasks != 16 {
		t.Errorf("a job that waits is read as %+v, %v", old, err)
	}
	released := waiting.Release(1300)
	released.Rank, released.Chunk, released.Parts = 3, 16, []int{1}
	old = oldJobRecord{}
	if err := wire.Decode(wire.Encode(released), &old); err != nil || !slices.Equal(old.Parts, []int{1}) || old.Chunk != 16 || old.At != 1300 || old.Job.Deadline != 600 {
		t.Errorf("a released job is read as %+v, %v", old, err)
	}
	// Moved by the version before: what it does not know is gone, and is not needed any more.
	back := &part.JobRecord{}
	if err := wire.Decode(wire.Encode(&old), back); err != nil || back.Waits() || back.Job.Deadline != 600 {
		t.Errorf("moved by the version before it is read as %+v, %v", back, err)
	}
	if late := waiting.Release(1950); late.Job.Deadline <= 0 || late.Job.Deadline > 1 {
		t.Errorf("released after its deadline it has %v s", late.Job.Deadline)
	}
	var end oldFinal
	if err := wire.Decode(wire.Encode(&part.Final{Status: wire.Withdrawn, Tasks: 16, Cause: "wk-1"}), &end); err != nil || end.Status != wire.Withdrawn || end.Tasks != 16 {
		t.Errorf("an end is read as %+v, %v", end, err)
	}
}
