// Package peermsg sends messages between the controllers of a cluster, as protobuf over TCP. A
// controller opens one connection to each other member. Each message is sent as a frame: the length of
// an Envelope, followed by the Envelope.
//
// Messages may be lost. The content of every message is therefore either repeated with the next
// heartbeat or requested again.
package peermsg

//go:generate protoc --go_out=. --go_opt=paths=source_relative peermsg.proto

// Version is the newest version of records and messages that this program understands. Each
// version includes the earlier ones:
//
//	0  all records and messages that existed before versions were introduced
//	1  jobs with dependencies; records of machines may move from one roster key to another
const Version = VersionDependencies

// VersionDependencies is the version that added jobs with dependencies, and that allowed the records
// of machines to move from one roster key of the key-value store to another (see shard.Roster).
const VersionDependencies = 1
