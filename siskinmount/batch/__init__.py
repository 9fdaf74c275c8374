"""Batch jobs and their items.

Public API:
    create_batch_shard(name, log, writer, ...): A `BatchShard` with `stream`,
        `keys` (`state.KeyTable`) and `batch` (`BatchOwner`) for one ownership
        period of a stream. Pass it, with its other arguments bound, as
        `create_shard` to `state.create_ownership_manager`.
    BatchOwner: `open_upload(JobRequest) -> JobUpload | Failure`, then
        `upload.add(body)` for each item and `finish_upload(upload) ->
        JobStatus | Failure`; `submit(request, bodies)` does all of this;
        `status(job, caller)`, `statuses()`, `cancel(job, caller)`,
        `results_page(job, caller, after, limit) -> ResultsPage | Failure`,
        `pull`, `report`, `renew`.
    create_batch_service(manager, own_vm, owner_client): A `BatchService` for
        one entry over all streams. `pull(PullRequest)` long-polls; `report`
        and `renew` forward reports and renewals for streams of other entries
        through `OwnerClient`; `find_owner(job_id) -> BatchOwner | Failure`,
        `waiting_counts()` for heartbeats, `notify_ready` for the shards'
        `on_ready`, `drop_holder(vm, incarnation)`.
    create_job_id(caller, key): Identifier of a job; a repeated submission gets
        the same one.
    decode_pull_request(data), decode_report_request(data),
        decode_renew_request(data): Decode JSON to a typed request, or return a
        Failure; replies have `to_json()`. A sidecar uses `to_json()` of the
        requests and decode_pull_reply, decode_report_reply,
        decode_renew_reply.
    item_fingerprint(service, text): Digest under which crashes of upstreams
        are recorded.
"""

from siskinmount.batch._batch_limits import BatchLimits
from siskinmount.batch._batch_owner import BatchOwner
from siskinmount.batch._batch_owner import create_batch_owner
from siskinmount.batch._batch_service import BatchService
from siskinmount.batch._batch_service import create_batch_service
from siskinmount.batch._batch_service import OwnerClient
from siskinmount.batch._batch_shard import BatchShard
from siskinmount.batch._batch_shard import create_batch_shard
from siskinmount.batch._crash_tracker import CrashTracker
from siskinmount.batch._item_dispatcher import item_fingerprint
from siskinmount.batch._job_messages import ItemResult
from siskinmount.batch._job_messages import ItemState
from siskinmount.batch._job_messages import JobRequest
from siskinmount.batch._job_messages import JobState
from siskinmount.batch._job_messages import JobStatus
from siskinmount.batch._job_messages import ResultsPage
from siskinmount.batch._job_upload import create_job_id
from siskinmount.batch._job_upload import JobUpload
from siskinmount.batch._pull_messages import decode_pull_reply
from siskinmount.batch._pull_messages import decode_pull_request
from siskinmount.batch._pull_messages import PulledItem
from siskinmount.batch._pull_messages import PullReply
from siskinmount.batch._pull_messages import PullRequest
from siskinmount.batch._report_messages import decode_renew_reply
from siskinmount.batch._report_messages import decode_renew_request
from siskinmount.batch._report_messages import decode_report_reply
from siskinmount.batch._report_messages import decode_report_request
from siskinmount.batch._report_messages import ItemName
from siskinmount.batch._report_messages import ItemReport
from siskinmount.batch._report_messages import LeaseName
from siskinmount.batch._report_messages import RenewReply
from siskinmount.batch._report_messages import RenewRequest
from siskinmount.batch._report_messages import ReportedOutcome
from siskinmount.batch._report_messages import ReportReply
from siskinmount.batch._report_messages import ReportRequest
