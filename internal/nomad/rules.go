package nomad

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// Rules holds the operators' defaults for settings that job files omit. NativeJob.Assumed records
// each default that is used.
type Rules struct {
	CoreMHz float64 // MHz per core, used to convert the cpu of job files to cores
	Team    string  // for jobs that name no team
	Class   string  // for jobs that name no class
	Classes map[string]Class
}

// Class holds the defaults for settings that job files of a class omit.
type Class struct {
	Estimate          float64 // run time of a task, seconds
	CheckpointSeconds float64 // seconds of progress between checkpoints
	ImageGB           float64
	AllowSpot         bool // may use spot machines
}

// defaultImageGB is the assumed size of an image if neither the job file nor the class sets it.
const defaultImageGB = 0.5

// DefaultRules returns the rules that apply without a rules file.
func DefaultRules() Rules {
	return Rules{
		CoreMHz: 2500,
		Team:    "red",
		Class:   "nomad",
		Classes: map[string]Class{"nomad": {Estimate: 60, ImageGB: defaultImageGB}},
	}
}

const (
	rulesSection       = "nomad"
	classSectionPrefix = "class "
	maxRuleAmount      = 1e9 // upper bound of every number in the rules
)

// ruleSetter stores the value of a key, or returns an error if the value is invalid.
type ruleSetter func(key *ini.Key) error

// ReadRules parses the operators' rules: a [nomad] section, and a [class NAME] section for each
// class that job files can name. Unknown sections, unknown keys and invalid values are errors.
func ReadRules(text []byte) (Rules, error) {
	rules := DefaultRules()
	rules.Classes = map[string]Class{}
	file, err := ini.Load(text)
	if err != nil {
		return rules, err
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if err := rules.readSection(section); err != nil {
			return rules, err
		}
	}
	if _, ok := rules.Classes[rules.Class]; !ok {
		return rules, fmt.Errorf("[nomad] class: there is no [class %s]", rules.Class)
	}
	return rules, nil
}

// readSection reads a [nomad] or [class NAME] section into the rules.
func (r *Rules) readSection(section *ini.Section) error {
	if section.Name() == rulesSection {
		return readKeys(section, r.setters(section.Name()))
	}
	name, isClass := strings.CutPrefix(section.Name(), classSectionPrefix)
	name = strings.TrimSpace(name)
	if !isClass || name == "" {
		return fmt.Errorf("unknown section [%s]", section.Name())
	}
	class := Class{ImageGB: defaultImageGB}
	if err := readKeys(section, class.setters(section.Name())); err != nil {
		return err
	}
	r.Classes[name] = class
	return nil
}

// readKeys calls the setter of each key of a section. It returns an error for a key without a setter.
func readKeys(section *ini.Section, setters map[string]ruleSetter) error {
	for _, key := range section.Keys() {
		set := setters[key.Name()]
		if set == nil {
			return fmt.Errorf("unknown setting %s in [%s]", key.Name(), section.Name())
		}
		if err := set(key); err != nil {
			return err
		}
	}
	return nil
}

// setters returns the setter for each key of the [nomad] section.
func (r *Rules) setters(section string) map[string]ruleSetter {
	return map[string]ruleSetter{
		"mhz":   amountSetter(section, &r.CoreMHz, 1),
		"team":  textSetter(&r.Team),
		"class": textSetter(&r.Class),
	}
}

// setters returns the setter for each key of a [class NAME] section.
func (c *Class) setters(section string) map[string]ruleSetter {
	return map[string]ruleSetter{
		"estimate_s":   amountSetter(section, &c.Estimate, 0),
		"checkpoint_s": amountSetter(section, &c.CheckpointSeconds, 0),
		"image_gb":     amountSetter(section, &c.ImageGB, 0),
		"spot":         flagSetter(section, &c.AllowSpot),
	}
}

// textSetter returns a setter that accepts any text.
func textSetter(target *string) ruleSetter {
	return func(key *ini.Key) error {
		*target = key.String()
		return nil
	}
}

// amountSetter returns a setter that accepts numbers from minimum to maxRuleAmount.
func amountSetter(section string, target *float64, minimum float64) ruleSetter {
	return func(key *ini.Key) error {
		amount, err := strconv.ParseFloat(key.String(), 64)
		if err != nil || !(amount >= minimum && amount <= maxRuleAmount) { // the negation also refuses NaN
			return fmt.Errorf("[%s] %s: %q must be a number from %v on", section, key.Name(), key.String(), minimum)
		}
		*target = amount
		return nil
	}
}

// flagSetter returns a setter that accepts yes and no.
func flagSetter(section string, target *bool) ruleSetter {
	return func(key *ini.Key) error {
		*target = key.String() == "yes"
		if !*target && key.String() != "no" {
			return fmt.Errorf("[%s] %s: %q must be yes or no", section, key.Name(), key.String())
		}
		return nil
	}
}
