package config

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
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
	return d, d.Check()
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
	err := decode(data, &idx)
	return idx, err
}

// ParseService reads one service's value.
func ParseService(data []byte) (Service, error) {
	var s Service
	err := decode(data, &s)
	return s, err
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
			ps = append(ps, Problem{place: v.key, reason: "the value is larger than a megabyte"})
		}
	}
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return buf.Bytes(), nil
}

func decode(data []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(strict)
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return errors.Errorf("line %d, column %d: key %q: %s", row, col, strings.Join(de.Key(), "."), de.Error())
	}
	return errors.Wrap(err, "decode configuration")
}

func unknownKeys(strict *toml.StrictMissingError) error {
	var ps Problems
	for i := range strict.Errors {
		row, _ := strict.Errors[i].Position()
		place := "line " + strconv.Itoa(row)
		ps = append(ps, Problem{place: place, reason: "unknown key " + strings.Join(strict.Errors[i].Key(), ".")})
	}
	return ps
}
