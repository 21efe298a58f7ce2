import { type PeerAddress, type PeerClients, ReportServiceService } from "@ibislanding/protocol";
import { mergeChangedDocuments } from "../documents/mergeChangedDocuments";
import type { ReportExchangeOptions } from "./reportExchangeOptions";

const FETCH_TIMEOUT_MS = 1_000;

type Options<Report extends { readonly address: string; }> =
    & Pick<
        ReportExchangeOptions<never>,
        "clock" | "documents" | "fetchDelayMs" | "onDocuments"
    >
    & { readonly staleSets: (report: Report) => readonly string[]; };

/** Creates a fetcher of the document sets that peers have in newer versions; each set is fetched from one peer at a time. */
export const createDocumentFetcher = <Report extends { readonly address: string; }>(
    { clock, documents, fetchDelayMs, staleSets, onDocuments }: Options<Report>,
    clients: PeerClients,
) => {
    const fetching = new Set<string>();

    const fetchSet = async (address: PeerAddress, set: string, isComplete = false): Promise<void> => {
        const known = isComplete ? undefined : documents(set);
        const result = await clients.call(
            address,
            ReportServiceService.fetchDocuments,
            { set, knownEpoch: known?.epoch ?? 0, knownRevision: known?.revision ?? 0 },
            FETCH_TIMEOUT_MS,
        );
        // After a failure the peer's next report starts another attempt.
        if (result.err || result.val.revision === 0) {
            return;
        }
        const { documents: changed, unchangedKeys } = result.val;
        const merged = mergeChangedDocuments(result.val, changed, unchangedKeys, known);
        if (merged !== undefined) {
            onDocuments(set, merged);
        }
        else if (!isComplete) {
            await fetchSet(address, set, true);
        }
    };

    const fetchOnce = async (address: PeerAddress, set: string): Promise<void> => {
        if (!fetching.has(set)) {
            fetching.add(set);
            await fetchSet(address, set);
            fetching.delete(set);
        }
    };

    return {
        /** Fetches the sets of which the sender of a report has a newer version, unless the store delivers it first. */
        fetchStaleSets: (report: Report): void =>
            staleSets(report).forEach(set =>
                void clock.setTimer(documents(set) === undefined ? 0 : fetchDelayMs(set), () => {
                    if (staleSets(report).includes(set)) {
                        void fetchOnce(report.address as PeerAddress, set);
                    }
                })
            ),
    };
};
