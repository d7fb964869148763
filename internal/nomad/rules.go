package nomad

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// ReadRules reads the operators' rules: [nomad] and a [class NAME] for each class
// that files may name. Unknown sections and keys, and values that are no
// amounts, are refused.
func ReadRules(text []byte) (Rules, error) {
	r := DefaultRules()
	r.Classes = map[string]Class{}
	file, err := ini.Load(text)
	if err != nil {
		return r, err
	}
	for _, sec := range file.Sections() {
		name, class := strings.CutPrefix(sec.Name(), "class ")
		switch {
		case sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0:
			continue
		case sec.Name() != "nomad" && (!class || strings.TrimSpace(name) == ""):
			return r, fmt.Errorf("unknown section [%s]", sec.Name())
		}
		c := Class{ImageGb: 0.5}
		for _, k := range sec.Keys() {
			amount := func(to *float64, least float64) error {
				v, err := strconv.ParseFloat(k.String(), 64)
				if err != nil || !(v >= least && v <= 1e9) {
					return fmt.Errorf("[%s] %s: %q must be a number from %v on", sec.Name(), k.Name(), k.String(), least)
				}
				*to = v
				return nil
			}
			err, known := error(nil), true
			switch {
			case !class && k.Name() == "mhz":
				err = amount(&r.MHz, 1)
			case !class && k.Name() == "team":
				r.Team = k.String()
			case !class && k.Name() == "class":
				r.Class = k.String()
			case class && k.Name() == "estimate_s":
				err = amount(&c.Estimate, 0)
			case class && k.Name() == "checkpoint_s":
				err = amount(&c.Checkpoint, 0)
			case class && k.Name() == "image_gb":
				err = amount(&c.ImageGb, 0)
			case class && k.Name() == "spot":
				if c.Spot = k.String() == "yes"; !c.Spot && k.String() != "no" {
					err = fmt.Errorf("[%s] spot: %q must be yes or no", sec.Name(), k.String())
				}
			default:
				known = false
			}
			if !known {
				return r, fmt.Errorf("unknown setting %s in [%s]", k.Name(), sec.Name())
			}
			if err != nil {
				return r, err
			}
		}
		if class {
			r.Classes[strings.TrimSpace(name)] = c
		}
	}
	if _, ok := r.Classes[r.Class]; !ok {
		return r, fmt.Errorf("[nomad] class: there is no [class %s]", r.Class)
	}
	return r, nil
}
