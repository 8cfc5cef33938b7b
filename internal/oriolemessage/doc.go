// Package oriolemessage defines the messages between gateways and the objects that
// gateways keep in the platform's store. The types in message_gen.go are generated
// from message.schema.json. The functions here convert them to and from the core
// types and validate them, so that the rest of the code never sees a malformed
// message.
//
// The encoded names must not change: other gateways and the store hold them. Where
// such a name is unclear, the schema gives the Go field another one, in
// goJSONSchema.identifier.
package oriolemessage

//go:generate go tool go-jsonschema --package oriolemessage --struct-name-from-title --only-models --tags json --disable-omitzero --output message_gen.go message.schema.json
