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

// serviceKeyPrefix stands before a service's name in its platform key.
const serviceKeyPrefix = "service-"

// ServiceKey returns the platform's key of a service's value.
func ServiceKey(name string) string { return serviceKeyPrefix + name }

// Index is the value that names all others. A process reads it first, and each
// service's value must have the digest that stands here.
type Index struct {
	Name      string     `toml:"name" cbor:"1,keyasint"`
	Revision  uint64     `toml:"revision" cbor:"2,keyasint"`
	TokenKeys []TokenKey `toml:"token-keys" cbor:"3,keyasint"`
	Domains   []Domain   `toml:"domains" cbor:"4,keyasint"`
	Services  []IndexRow `toml:"services" cbor:"5,keyasint"`
}

// IndexRow names one service's value.
type IndexRow struct {
	// Name is the service's name; its value lies under ServiceKey(Name).
	Name string `toml:"name" cbor:"1,keyasint"`
	// Digest is the xxhash of the value's bytes, in hexadecimal.
	Digest string `toml:"digest" cbor:"2,keyasint"`
}

// Value is one value for the platform.
type Value struct {
	key  string
	data []byte
}

// Key returns the key under which the platform holds the value.
func (v Value) Key() string { return v.key }

// Data returns the value's bytes, in TOML.
func (v Value) Data() []byte { return v.data }

// Print checks the deployment and writes it as one TOML document. The same
// deployment gives the same bytes.
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

// Parse reads a document that Print wrote and checks it.
func Parse(data []byte) (Deployment, error) {
	var d Deployment
	if err := decode(data, &d); err != nil {
		return Deployment{}, err
	}
	return d, located(d.Check(), gdtoml.PositionsOf(data))
}

// located adds the lines to what Check found.
func located(err error, lines gdtoml.Positions) error {
	var ps Problems
	if !errors.As(err, &ps) {
		return err
	}
	for i := range ps {
		ps[i].line = lines.Line(ps[i].place)
	}
	return ps.orNil()
}

// Split checks the deployment and cuts it into the platform's values, the index
// last, so that a reader who sees the index finds the values that it names.
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

// Digest returns the xxhash of a value's bytes, as it stands in the index.
func Digest(data []byte) string {
	const digits = "0123456789abcdef"
	sum := xxhash.Sum64(data)
	out := make([]byte, 16)
	for i := range out {
		out[i] = digits[sum>>(60-4*i)&15]
	}
	return string(out)
}

// ParseIndex reads an index value. The services' values are read on their own.
func ParseIndex(data []byte) (Index, error) {
	var idx Index
	if err := decode(data, &idx); err != nil {
		return Index{}, err
	}
	return idx, nil
}

// ParseService reads one service's value.
func ParseService(data []byte) (Service, error) {
	var s Service
	if err := decode(data, &s); err != nil {
		return Service{}, err
	}
	return s, nil
}

// Join puts an index and its services' values together again and checks the
// whole. It is the inverse of Split.
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
	return ps.orNil()
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return buf.Bytes(), nil
}

// decode reads a document into v and gathers every unknown key and every value
// of a wrong type.
func decode(data []byte, v any) error {
	var ps Problems
	for _, f := range gdtoml.Decode(data, v) {
		ps = append(ps, Problem{line: f.Line(), place: f.Key(), reason: f.Reason()})
	}
	return ps.orNil()
}
