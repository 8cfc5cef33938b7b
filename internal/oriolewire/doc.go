// Package oriolewire holds the messages between gateways and their encoding in
// CBOR. The types in wire_gen.go are generated from wire.schema.json; the
// functions here translate them to and from the core types, and refuse what is
// malformed, so that no decision ever sees it.
package oriolewire

//go:generate go tool go-jsonschema --package oriolewire --struct-name-from-title --only-models --tags json --disable-omitzero --output wire_gen.go wire.schema.json
