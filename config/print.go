package config

import (
	"bytes"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// IndexKey is the platform's key of the index value.
const IndexKey = "index"

// serviceKeyPrefix precedes the service's name in the platform's key.
const serviceKeyPrefix = "service-"

// ServiceKey returns the platform's key of a service's value.
func ServiceKey(name string) string { return serviceKeyPrefix + name }

// Index is the value that lists all others. A process reads it first, and each
// service's value must have the digest that it lists.
type Index struct {
	Name      string     `toml:"name" cbor:"1,keyasint"`
	Revision  uint64     `toml:"revision" cbor:"2,keyasint"`
	TokenKeys []TokenKey `toml:"token-keys" cbor:"3,keyasint"`
	Domains   []Domain   `toml:"domains" cbor:"4,keyasint"`
	Services  []IndexRow `toml:"services" cbor:"5,keyasint"`
}

// IndexRow lists one service's value.
type IndexRow struct {
	// Name is the service's name. The key of its value is ServiceKey(Name).
	Name string `toml:"name" cbor:"1,keyasint"`
	// Digest is the Digest of the value's bytes.
	Digest string `toml:"digest" cbor:"2,keyasint"`
}

// Value is one value of the platform.
type Value struct {
	key  string
	data []byte
}

// Key returns the platform's key of the value.
func (v Value) Key() string { return v.key }

// Data returns the bytes of the value, which are TOML.
func (v Value) Data() []byte { return v.data }

// Print checks the deployment and writes it as one TOML document. Equal deployments
// give equal bytes.
func Print(w io.Writer, d Deployment) error {
	if err := d.Check(); err != nil {
		return err
	}
	data, err := encode(d)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "print configuration")
}

// Parse parses and checks a document as written by Print.
func Parse(data []byte) (Deployment, error) {
	var d Deployment
	if err := decode(data, &d); err != nil {
		return Deployment{}, err
	}
	return d, withLines(d.Check(), gdtoml.PositionsOf(data))
}

// withLines adds the line to each problem of err.
func withLines(err error, lines gdtoml.Positions) error {
	var ps Problems
	if !errors.As(err, &ps) {
		return err
	}
	for i := range ps {
		ps[i].line = lines.Line(ps[i].place)
	}
	return ps.errorOrNil()
}

// Split checks the deployment and converts it into the platform's values. The index
// is the last one: if the values are published in this order, a reader of the index
// finds all values that it lists.
func Split(d Deployment) ([]Value, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	idx := Index{Name: d.Name, Revision: d.Revision, TokenKeys: d.TokenKeys, Domains: d.Domains}
	var values []Value
	for _, s := range d.Services {
		data, err := encode(s)
		if err != nil {
			return nil, err
		}
		values = append(values, Value{key: ServiceKey(s.Name), data: data})
		idx.Services = append(idx.Services, IndexRow{Name: s.Name, Digest: Digest(data)})
	}
	data, err := encode(idx)
	if err != nil {
		return nil, err
	}
	values = append(values, Value{key: IndexKey, data: data})
	return values, checkSizes(values)
}

// Digest returns the 64-bit xxhash of a value's bytes as 16 hexadecimal digits.
func Digest(data []byte) string {
	const digits = "0123456789abcdef"
	sum := xxhash.Sum64(data)
	out := make([]byte, 16)
	for i := range out {
		out[i] = digits[sum>>(60-4*i)&15]
	}
	return string(out)
}

// ParseIndex parses an index value. It doesn't check it; see [Join].
func ParseIndex(data []byte) (Index, error) {
	var idx Index
	if err := decode(data, &idx); err != nil {
		return Index{}, err
	}
	return idx, nil
}

// ParseService parses the value of one service. It doesn't check it; see [Join].
func ParseService(data []byte) (Service, error) {
	var s Service
	if err := decode(data, &s); err != nil {
		return Service{}, err
	}
	return s, nil
}

// Join builds a deployment from an index and the services that it lists, and checks
// it.
func Join(idx Index, services []Service) (Deployment, error) {
	d := Deployment{
		Name:      idx.Name,
		Revision:  idx.Revision,
		TokenKeys: idx.TokenKeys,
		Domains:   idx.Domains,
		Services:  services,
	}
	return d, d.Check()
}

func checkSizes(values []Value) error {
	var ps Problems
	for _, v := range values {
		if len(v.data) > MaxValueBytes {
			ps = append(ps, Problem{value: v.key, reason: "the value is larger than a megabyte"})
		}
	}
	return ps.errorOrNil()
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return buf.Bytes(), nil
}

// decode decodes a document into v. The error contains every unknown key and every
// value of a wrong type.
func decode(data []byte, v any) error {
	var ps Problems
	for _, f := range gdtoml.Decode(data, v) {
		ps = append(ps, Problem{line: f.Line(), place: f.Key(), reason: f.Reason()})
	}
	return ps.errorOrNil()
}
