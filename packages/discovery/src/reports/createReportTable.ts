import { type HostId, measureElapsedMs } from "@ibislanding/core";
import { decodeReports } from "./decodeReports";
import type { PeerReport } from "./peerReport";
import type { ReportEnvelope } from "./reportEnvelope";
import type { ReportExchangeOptions } from "./reportExchangeOptions";

/** A process without a report for this long is considered stopped. */
const REPORT_RETENTION_MS = 60_000;

interface StoredReport<Report> extends PeerReport<Report> {
    readonly text: string;
    /** Longest time since its host created it, unless that is uncertain. */
    readonly ageMs: () => number;
    readonly isAgeUncertain: true | undefined;
}

/** Creates an empty table of the latest reports or summaries of other hosts. */
export const createReportTable = <Report extends { readonly hostId: HostId; readonly sequence: number; }>(
    { clock, hostId: ownId, aggregation, decodeReport, onReport, onAnswer }:
        & Pick<
            ReportExchangeOptions<never>,
            "clock" | "hostId"
        >
        & {
            readonly aggregation: { readonly withoutOwn: (summary: Report) => Report; };
            readonly decodeReport: (text: string) => Report | undefined;
            readonly onReport: (report: Report, ageMs: number) => void;
            readonly onAnswer: (report: Report, ageMs: number) => void;
        },
) => {
    const reports = new Map<HostId, StoredReport<Report>>();

    /** Keeps a report without this host's own contributions and passes it on. */
    const store = (report: Report, { text, ageMs, isAgeUncertain }: ReportEnvelope, transitMs = 0): void => {
        const { hostId } = report;
        const adjusted = aggregation.withoutOwn(report);
        const elapsedMs = measureElapsedMs(clock);
        reports.set(hostId, {
            hostId,
            report: adjusted,
            reportedAtMs: clock.monotonicMs() - ageMs,
            text,
            ageMs: () => ageMs + transitMs + elapsedMs(),
            isAgeUncertain,
        });
        onReport(adjusted, ageMs);
    };

    const isNew = ({ hostId, sequence }: Report): boolean =>
        hostId !== ownId && sequence > (reports.get(hostId)?.report.sequence ?? -Infinity);

    return {
        store,
        /**
         * Decodes a message and stores its newer reports. `onSender` is called before with that of the sender, the first
         * one, which is also returned; undefined if the message is malformed. `transitMs` is the longest time since an answer
         * was created; how long a peer's own call was under way is not known.
         */
        receive: (
            bytes: Uint8Array,
            transitMs?: number,
            onSender?: (report: Report) => void,
        ): Report | undefined => {
            const decoded = (decodeReports(bytes) ?? []).flatMap(envelope => {
                const report = decodeReport(envelope.text);
                return report === undefined ? [] : [{ report, envelope }];
            });
            const sender = decoded[0]?.report;
            if (sender !== undefined) {
                onSender?.(sender);
            }
            decoded.filter(({ report }) => isNew(report)).forEach(({ report, envelope }) => {
                const isAgeUncertain = transitMs === undefined || envelope.isAgeUncertain;
                store(report, { ...envelope, isAgeUncertain: isAgeUncertain || undefined }, transitMs);
                if (transitMs !== undefined && envelope.isAgeUncertain !== true) {
                    onAnswer(report, envelope.ageMs + transitMs);
                }
            });
            return sender;
        },
        /** Reports of others that are younger than the given age, to be passed on. */
        recentEnvelopes: (maximumAgeMs: number): readonly ReportEnvelope[] => {
            const nowMs = clock.monotonicMs();
            return [...reports.values()]
                .filter(({ hostId, reportedAtMs }) => hostId !== ownId && nowMs - reportedAtMs < maximumAgeMs)
                .map(({ text, ageMs, isAgeUncertain }) => ({ text, ageMs: Math.ceil(ageMs()), isAgeUncertain }));
        },
        evictExpired: (): void => {
            const oldestMs = clock.monotonicMs() - REPORT_RETENTION_MS;
            [...reports.values()].filter(({ reportedAtMs }) => reportedAtMs < oldestMs).forEach(({ hostId }) =>
                reports.delete(hostId)
            );
        },
        all: (): ReadonlyMap<HostId, PeerReport<Report>> => reports,
    };
};
