// Package questionnaire generates the configuration of a deployment from the
// answers that its operators give in a questionnaire.
//
// A questionnaire is a file of JSON with comments that describes the data
// centres, callers and services of a deployment. [Parse] validates it and
// reports all faults at once. [Generate] creates the manifest and the documents;
// its output is deterministic. [Explain] returns the answers that each setting
// is derived from, [Risks] the risks of a valid questionnaire, and [Diff] the
// changes between two revisions.
//
// Settings that the questionnaire does not ask for are derived from the answers
// only in derive.go.
package questionnaire

import "github.com/gypsumlug/gypsumlug/internal/config"

// FormatVersion is the questionnaire format that this package supports.
const FormatVersion = 1

// Questionnaire holds the answers about one deployment.
type Questionnaire struct {
	Format      int          `json:"format" jsonschema:"description=Version of the questionnaire; 1."`
	Deployment  string       `json:"deployment" jsonschema:"description=Name of the deployment."`
	Revision    int          `json:"revision" jsonschema:"description=Number of this revision; each revision is higher than the last.,minimum=1"`
	Network     Network      `json:"network" jsonschema:"description=What messages cost."`
	DataCentres []DataCentre `json:"data_centres" jsonschema:"description=The data centres with their entry hosts.,minItems=1"`
	Callers     []Caller     `json:"callers" jsonschema:"description=Everyone who calls a service.,minItems=1"`
	Services    []Service    `json:"services" jsonschema:"description=The services or groups of services of the same shape.,minItems=1"`
}

// Network holds the one-way latencies, in microseconds.
type Network struct {
	BetweenDataCentresUS int `json:"between_data_centres_us" jsonschema:"description=One-way latency between data centres in microseconds.,minimum=0"`
	ToCallersUS          int `json:"to_callers_us" jsonschema:"description=One-way latency to callers in microseconds.,minimum=0"`
}

// DataCentre is a data centre and the number of its entry hosts.
type DataCentre struct {
	Name  string `json:"name" jsonschema:"description=Name of the data centre."`
	Hosts int    `json:"hosts" jsonschema:"description=Number of entry hosts there.,minimum=1"`
}

// Caller is a program or team that calls services.
type Caller struct {
	Name        string `json:"name" jsonschema:"description=Name that the caller gives in its requests."`
	Description string `json:"description,omitempty" jsonschema:"description=Who that is."`
}

// Service is one service, or a group of Count services with the same shape and
// answers.
type Service struct {
	Name          string    `json:"name" jsonschema:"description=Name of the service; the services of a group are numbered: name-01."`
	Description   string    `json:"description,omitempty" jsonschema:"description=What it is for."`
	Count         int       `json:"count,omitempty" jsonschema:"description=Number of services in the group; 1 if absent.,minimum=1"`
	Shape         *Shape    `json:"shape,omitempty" jsonschema:"description=Endpoints of each service."`
	SameShapeAs   string    `json:"same_shape_as,omitempty" jsonschema:"description=Name of the service or group whose shape this one has."`
	Addresses     Addresses `json:"addresses" jsonschema:"description=Where the endpoints are: ranges or a list."`
	IndexVersions []Version `json:"index_versions" jsonschema:"description=Index versions that the endpoints hold; the oldest first.,minItems=1"`

	Urgency        string      `json:"urgency" jsonschema:"description=urgent: before all others. normal. archive: can wait its turn.,enum=urgent,enum=normal,enum=archive"`
	First          string      `json:"first" jsonschema:"description=What goes first. latency: answer in time with what is there. coverage: wait for missing shards until the deadline.,enum=latency,enum=coverage"`
	MayBeRepeated  bool        `json:"may_be_repeated" jsonschema:"description=Whether a request may run more than once. If not it takes submits under permits and no queries."`
	AnswerWithinMS int         `json:"answer_within_ms" jsonschema:"description=When an answer is wanted in milliseconds.,minimum=1"`
	DeadlineMS     int         `json:"deadline_ms" jsonschema:"description=When an answer is of no use any more in milliseconds.,minimum=1"`
	MostDocuments  int         `json:"most_documents" jsonschema:"description=Largest number of documents in an answer.,minimum=1"`
	FreshVersions  int         `json:"fresh_versions" jsonschema:"description=How fresh: the number of newest index versions that may answer; 1 means only the newest.,minimum=1"`
	ExtraLoad      ExtraLoad   `json:"extra_load" jsonschema:"description=How much more than one request a shard may be sent to endpoints."`
	Limits         Limits      `json:"limits" jsonschema:"description=Limits of each service over all hosts."`
	Permits        *Permits    `json:"permits,omitempty" jsonschema:"description=Only for requests that may not be repeated."`
	Callers        []CallerUse `json:"callers" jsonschema:"description=Who may call each service and how much.,minItems=1"`
}

// Shape is the number and size of the endpoints of one service.
type Shape struct {
	Replicas         int `json:"replicas" jsonschema:"description=Number of endpoints of a service.,minimum=1"`
	Slots            int `json:"slots" jsonschema:"description=Requests that an endpoint runs at once.,minimum=1"`
	Connections      int `json:"connections" jsonschema:"description=Connections that an endpoint allows over all hosts.,minimum=1"`
	ConnectionCostMS int `json:"connection_cost_ms" jsonschema:"description=What a new connection costs in milliseconds.,minimum=0"`
	Shards           int `json:"shards" jsonschema:"description=Shards that the index is split into.,minimum=1"`
	ReplicasPerShard int `json:"replicas_per_shard,omitempty" jsonschema:"description=Endpoints that hold a shard; all if absent.,minimum=1"`
	ShardUS          int `json:"shard_us" jsonschema:"description=What an endpoint usually needs for one shard in microseconds.,minimum=1"`
}

// Addresses gives the addresses of the endpoints, either as ranges or as a list.
type Addresses struct {
	Ranges []AddressRange `json:"ranges,omitempty" jsonschema:"description=First address in each data centre. Endpoints take the ranges in turn."`
	Next   string         `json:"next,omitempty" jsonschema:"description=What counts up within a range: ip (default) or port.,enum=ip,enum=port"`
	List   []EndpointAt   `json:"list,omitempty" jsonschema:"description=Every endpoint: those of the first service first."`
}

// AddressRange holds the first address of the endpoints in a data centre.
type AddressRange struct {
	DataCentre string `json:"data_centre" jsonschema:"description=Name of the data centre."`
	First      string `json:"first" jsonschema:"description=IP and port of the first endpoint there."`
}

// EndpointAt is the data centre and address of one endpoint.
type EndpointAt struct {
	DataCentre string `json:"data_centre" jsonschema:"description=Name of the data centre."`
	Address    string `json:"address" jsonschema:"description=IP and port of the endpoint."`
}

// Version is one version of the index of a service.
type Version struct {
	Version int `json:"version" jsonschema:"description=Number of the version.,minimum=1"`
	Shards  int `json:"shards,omitempty" jsonschema:"description=Shards of this version; those of the shape if absent.,minimum=1"`
}

// ExtraLoad limits duplicate requests to endpoints, in percent of the requests
// that are needed without any duplicates.
type ExtraLoad struct {
	UsualPercent     int `json:"usual_percent" jsonschema:"description=Second requests against slow shards in percent.,minimum=0,maximum=100"`
	InTroublePercent int `json:"in_trouble_percent" jsonschema:"description=Repeated requests while endpoints refuse or fail in percent.,minimum=0,maximum=100"`
}

// Limits are the limits of one service over all hosts together.
type Limits struct {
	RequestsPerSecond int `json:"requests_per_second" jsonschema:"description=Requests a second that are expected at the busiest.,minimum=1"`
	RequestsAtOnce    int `json:"requests_at_once" jsonschema:"description=Requests that run at once.,minimum=1"`
}

// Permits limits the permits of requests that may not be repeated.
type Permits struct {
	ValidS       int `json:"valid_s" jsonschema:"description=Seconds within which a permit must be used.,minimum=1"`
	OutcomeKeptS int `json:"outcome_kept_s" jsonschema:"description=Seconds for which an outcome can be asked for again.,minimum=1"`
}

// CallerUse holds the limits of one caller of a service, over all hosts
// together.
type CallerUse struct {
	Name              string `json:"name" jsonschema:"description=Name of the caller."`
	RequestsPerSecond int    `json:"requests_per_second" jsonschema:"description=Sustained requests a second.,minimum=1"`
	Burst             int    `json:"burst" jsonschema:"description=Requests above that which may come at once.,minimum=0"`
	RequestsAtOnce    int    `json:"requests_at_once" jsonschema:"description=Requests that run at once.,minimum=1"`
}

// Hosts returns the number of entry hosts of the deployment.
func (q *Questionnaire) Hosts() int {
	total := 0
	for _, dataCentre := range q.DataCentres {
		total += dataCentre.Hosts
	}
	return total
}

// urgencies and preferences map the answers urgency and first to configuration
// values.
var (
	urgencies = map[string]config.Urgency{"urgent": config.Urgent, "normal": config.Normal, "archive": config.Archive}

	preferences = map[string]config.Preference{"latency": config.PreferLatency, "coverage": config.PreferCoverage}
)
