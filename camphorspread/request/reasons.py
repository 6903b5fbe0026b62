"""The closed set of reasons recorded with decisions."""

import enum

__all__ = ["Reason"]


class Reason(enum.Enum):
    """Why a request was routed to its destination, or why it was refused."""

    SAME_AVAILABILITY_ZONE = "same_availability_zone"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"
    SHIFTED_FOR_LOAD = "shifted_for_load"
    SHIFTED_FOR_LOSS = "shifted_for_loss"
    SHIFTED_FOR_DRAIN = "shifted_for_drain"
    ONCE_HOME = "once_home"
    ONCE_REPEAT = "once_repeat"
    RETRIED = "retried"
    QUEUED = "queued"
    SHED_BY_CLASS = "shed_by_class"
    QUEUE_FULL = "queue_full"
    SLOTS_FULL = "slots_full"
    REGION_SHARE_USED = "region_share_used"
    SHIFT_SHARE_USED = "shift_share_used"
    DEADLINE = "deadline"
    RETRY_BUDGET_USED = "retry_budget_used"
    CATALOGUE_LEASE_ENDED = "catalogue_lease_ended"
    LEAVING = "leaving"
    NO_LIVE_ENDPOINT = "no_live_endpoint"
    REFUSED = "refused"
