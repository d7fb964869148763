// Package peermsg carries messages between the controllers of a cluster: protobuf over TCP,
// one outgoing connection to each member, in frames of a length and an Envelope.
//
// Messages may be lost: everything sent here is either repeated with the next heartbeat or
// requested again.
package peermsg

//go:generate protoc --go_out=. --go_opt=paths=source_relative peermsg.proto

// Version says which records and messages this program understands, besides those of the
// programs before it:
//
//	0  all from before there were versions
//	1  jobs with dependencies; a group's machines may move from one key to another
const Version = VersionDependencies

// VersionDependencies is the first version that understands what is listed under 1.
const VersionDependencies = 1
