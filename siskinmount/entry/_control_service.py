"""Serves control calls from daemons and operators."""

from collections.abc import Callable

import orjson

from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import state
from siskinmount import telemetry
from siskinmount.entry import _active_configuration
from siskinmount.entry import _self_description


class ControlService:
    """Implements `rpc.ControlHandlers` for an entry."""

    __slots__ = (
        '_self_description',
        '_members',
        '_active_configuration',
        '_histograms',
        '_crash_reports',
        '_list_backlogs',
        '_describe_details',
    )

    def __init__(
        self,
        self_description: _self_description.SelfDescription,
        members: membership.MemberTable,
        active_configuration: _active_configuration.ActiveConfiguration,
        histograms: telemetry.Histograms,
        crash_reports: state.CrashReportStream,
        list_backlogs: Callable[[], list[rpc.Backlog]],
        describe_details: Callable[[], dict[str, object]],
    ) -> None:
        self._self_description = self_description
        self._members = members
        self._active_configuration = active_configuration
        self._histograms = histograms
        self._crash_reports = crash_reports
        self._list_backlogs = list_backlogs
        self._describe_details = describe_details

    async def heartbeat(
        self, request: rpc.HeartbeatRequest
    ) -> rpc.HeartbeatReply | results.Failure:
        """Records the sender as a member and replies with this entry's state.

        The reply describes this entry, its waiting batch items and the known
        entries.
        """
        sender = membership.decode_member(request.sender)
        if isinstance(sender, results.Failure):
            return sender
        stale = self._members.apply_heartbeat(sender)
        if stale is not None:
            return stale
        for crash in request.deaths:
            self._crash_reports.apply_remote_crash(
                crash.fingerprint,
                sender.vm,
                sender.incarnation + crash.generation,
                alone=crash.was_alone,
            )
        reply = rpc.HeartbeatReply(
            replier=membership.encode_member(self._self_description.describe()),
            backlogs=self._list_backlogs(),
        )
        for entry in self._members.list_entries_for_reply():
            reply.entries.append(
                membership.encode_member(
                    entry, self._members.heard_ms_ago(entry.vm)
                )
            )
        return reply

    async def get_configuration(
        self, request: rpc.ConfigurationRequest
    ) -> rpc.ConfigurationReply | results.Failure:
        """Returns this entry's active configuration.

        The text is included only if it is newer than the known version.
        """
        reply = rpc.ConfigurationReply(
            version=self._active_configuration.version
        )
        document = self._active_configuration.document
        if document is not None and request.known_version < reply.version:
            reply.text = document.text
        return reply

    async def get_status(
        self, request: rpc.StatusRequest
    ) -> rpc.StatusReply | results.Failure:
        """Returns this entry, its members and its details, for operators."""
        reply = rpc.StatusReply(details=orjson.dumps(self._describe_details()))
        reply.self.CopyFrom(
            membership.encode_member(self._self_description.describe())
        )
        for member in self._members.list_members():
            reply.members.append(membership.encode_member(member))
        return reply

    async def get_histograms(
        self, request: rpc.HistogramsRequest
    ) -> rpc.HistogramsReply | results.Failure:
        """Returns this entry's histograms, for the burn-rate report."""
        reply = rpc.HistogramsReply(
            vm=self._self_description.identity.vm,
            incarnation=self._self_description.incarnation,
        )
        for snapshot in self._histograms.take_snapshots():
            reply.histograms.append(
                rpc.WindowedHistogram(
                    service=snapshot.service,
                    objective=snapshot.objective,
                    window_start_s=snapshot.window_start_s,
                    window_s=snapshot.window_s,
                    good=snapshot.good,
                    bad=snapshot.bad,
                    histogram=snapshot.histogram,
                )
            )
        return reply
