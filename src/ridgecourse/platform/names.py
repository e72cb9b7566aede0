"""Names on the platform's wire, each with what it holds."""

SETTINGS_VARIABLE = "RIDGECOURSE_BOOT"
"""Environment variable with the path of the settings file."""

# Headers of requests.
ATTEMPT_ID = "Attempt-Id"
"""Identity of one attempt of a client; a retry has another."""
DEADLINE = "Deadline-Ms"
KEY = "Key"
"""The client's API key; engines never see it."""
ACCOUNT = "Tenant"
MODEL = "Model"
TOKENS = "Token-Usage"
"""Not a usage: tokens of the prompt, comma, most tokens of the answer."""
LENGTH_HINT = "Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
EXPECTED_TARGET = "Expected-Instance"
EXPECTED_VERSION = "Expected-Version"
URGENCY = "Urgency-Class"

# Headers of answers.
SIGNATURE = "Response-Signature"
NOT_RUN = "Not-Executed"
TARGET = "Instance-Id"
RETRY_AFTER = "Retry-After"

# Calls of engines, origin and store.
READY_PATH = "/ridgecourse/readyz"
REPORT_PATH = "/ridgecourse/report"
ORDER_PATH = "/ridgecourse/order"
MANIFEST_PATH = "/ridgecourse/manifest/"
CHUNK_PATH = "/ridgecourse/piece/"
STAGE_PUT_PATH = "/ridgecourse/stage-put/"
STAGE_GET_PATH = "/ridgecourse/stage-get/"
LOG_READ_PATH = "/ridgecourse/log-read"
LOG_APPEND_PATH = "/ridgecourse/log-append"
LOG_NEWEST_PATH = "/ridgecourse/log-newest"

CHUNK_INDEX = "sample_count"
"""Not a count: the index of one chunk of a model's weights."""

DECISIONS_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
KEPT_TOPIC = "keyed.ridgecourse-kept"
"""The system's own: decisions higher than the newest record of their key."""
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"
