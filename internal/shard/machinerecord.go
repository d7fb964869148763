package shard

// machineRecordOverhead is the approximate encoded size of a machine record without its
// strings, in bytes.
const machineRecordOverhead = 32

// MachineRecord is the stored state of a machine, in a Roster. It is encoded as an array:
// the order of its fields is the stored format.
type MachineRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Shard       int    // shard that the machine belongs to
	Address     string // host:port of the machine's agent
	Type        string
	Zone        string
	Spot        bool
	IsPermanent bool // existed before this scheduler created any machine
}

// EncodedSize returns the approximate size of the encoded record in bytes.
func (r *MachineRecord) EncodedSize() int {
	return len(r.ID) + len(r.Address) + len(r.Type) + len(r.Zone) + machineRecordOverhead
}

// Roster is a group of machines whose records share one key.
type Roster struct {
	Nonce    string          `cbor:"w"`
	Machines []MachineRecord `cbor:"m"`
}

// AddUpTo appends machines in order while the roster stays within a size limit in bytes, and
// returns the machines that do not fit.
func (r *Roster) AddUpTo(add []*MachineRecord, limit int) []*MachineRecord {
	size := 0
	for i := range r.Machines {
		size += r.Machines[i].EncodedSize()
	}
	for len(add) > 0 && size+add[0].EncodedSize() <= limit {
		size += add[0].EncodedSize()
		r.Machines = append(r.Machines, *add[0])
		add = add[1:]
	}
	return add
}
