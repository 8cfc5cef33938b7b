// Package oriolemessage holds the messages between gateways and what they keep
// in the platform's store. The types in message_gen.go are generated from
// message.schema.json; the functions here translate them to and from the core
// types and refuse what is malformed, so that no decision ever sees it.
package oriolemessage

//go:generate go tool go-jsonschema --package oriolemessage --struct-name-from-title --only-models --tags json --disable-omitzero --output message_gen.go message.schema.json
