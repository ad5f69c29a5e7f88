// Package strictyaml reads YAML into typed structs and refuses whatever the
// types don't know: unknown fields, wrong types, a field that is given twice, a
// second document. Each problem names its line and the path of its field, which
// the YAML library alone does only in part. The document and the settings of
// the roles are read with it.
package strictyaml
