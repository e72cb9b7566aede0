"""Headers, paths, topics and record keys of the platform's protocols."""

SETTINGS_VARIABLE = "RIDGECOURSE_BOOT"
"""Environment variable that holds the path of the settings file."""

# Request headers.
ATTEMPT_ID_HEADER = "Attempt-Id"
"""Identifies one attempt of a client; each retry has a new value."""
DEADLINE_HEADER = "Deadline-Ms"
API_KEY_HEADER = "Key"
"""The client's API key. The gateway does not forward it to engines."""
ACCOUNT_HEADER = "Tenant"
MODEL_HEADER = "Model"
TOKEN_COUNTS_HEADER = "Token-Usage"
"""Tokens of the prompt, a comma, and the maximum tokens of the answer. Despite the name
this is not a measured usage."""
LENGTH_HINT_HEADER = "Length-Hint"
PROMPT_PARTS_HEADER = "Prefix-Hash"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
EXPECTED_TARGET_HEADER = "Expected-Instance"
EXPECTED_VERSION_HEADER = "Expected-Version"
URGENCY_HEADER = "Urgency-Class"

# Answer headers.
SIGNATURE_HEADER = "Response-Signature"
NOT_EXECUTED_HEADER = "Not-Executed"
RATE_LIMIT_HEADER = "Server-Limit"
"""Requests per second that the engine accepts from all gateways together."""
LEAVING_HEADER = "Server-Leaving"
"""Present with the value 1 in all answers of an engine that leaves."""
COLD_HEADER = "Cold-Remaining-Ms"
"""Milliseconds for which the engine stays cold, in its health answers."""
TARGET_HEADER = "Instance-Id"
RETRY_AFTER_HEADER = "Retry-After"

ERA_HEADER = "Store-Era"
"""Rises by one each time the store returns from an older copy of itself."""

# Paths of calls to engines, origin and store.
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

CHUNK_INDEX_PARAMETER = "sample_count"
"""Query parameter with the index of a chunk of a model's weights. Despite the name this
is not a count."""

DECISIONS_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
PINNED_TOPIC = "keyed.ridgecourse-kept"
"""Topic that the project itself writes: decisions with a higher revision than the
newest record of their key."""
BLOCKED_TOPIC = "keyed.ridgecourse-blocked"
"""Topic that the project itself writes: requests that are not sent because they crash
engines."""
STARTS_TOPIC = "keyed.ridgecourse-starts"
"""Topic that the project itself writes: first starts of gateways."""
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"
