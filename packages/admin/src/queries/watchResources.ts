import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";
import type { AdminServices } from "../adminServices";
import type { AdminRequest } from "../http/adminRequest";
import type { AdminRoute } from "../http/adminRoute";
import type { EventWriter } from "../http/eventWriter";
import { watchEventOf } from "../views/watchEventOf";
import { parseCount } from "./parseCount";

const afterRevisionOf = ({ query, headers }: AdminRequest): Result<number, Failure> => {
    const lastEventId = headers["last-event-id"];
    return lastEventId === undefined
        ? parseCount(query, "afterRevision", 0)
        : parseCount(new URLSearchParams({ "Last-Event-ID": String(lastEventId) }), "Last-Event-ID", 0);
};

interface Watch {
    readonly request: AdminRequest;
    readonly services: AdminServices;
    readonly writer: EventWriter;
    readonly initialDocument: ConfigurationDocument;
    readonly afterRevision: number;
}

const newest = (left: ConfigurationDocument, right: ConfigurationDocument | undefined): ConfigurationDocument =>
    right !== undefined && right.revision > left.revision ? right : left;

const runWatch = async ({ request, services, writer, initialDocument, afterRevision }: Watch): Promise<void> => {
    const ended = AbortSignal.any([request.signal, services.stopSignal]);
    let wake = new AbortController();
    let latest = initialDocument;
    const unsubscribe = services.configuration.subscribe(document => {
        latest = newest(latest, document);
        wake.abort();
    });
    latest = newest(latest, services.configuration.current());
    let sentRevision = afterRevision;
    try {
        while (!ended.aborted) {
            wake = new AbortController();
            const document = latest;
            if (document.revision > sentRevision) {
                const event = watchEventOf(document, sentRevision, request.operator);
                await writer.event("change", String(document.revision), event);
                sentRevision = document.revision;
            }
            else {
                await services.clock.sleep(services.watchHeartbeatMs, AbortSignal.any([ended, wake.signal]));
                writer.heartbeat();
            }
        }
    }
    finally {
        unsubscribe();
    }
};

/**
 * Streams the changes after a revision to resources of the operator's teams. One event covers all revisions since the
 * event before it.
 */
export const watchResources: AdminRoute = {
    method: "GET",
    path: "/v1/watch",
    handle: async (request, services) => {
        const afterRevision = afterRevisionOf(request);
        if (afterRevision.err) {
            return afterRevision;
        }
        const slot = services.watchSlots.acquire();
        if (slot === undefined) {
            return Err(createFailure(ErrorCode.Overloaded, { message: "Too many watches are open." }));
        }
        const snapshot = await services.configuration.read();
        if (snapshot.err) {
            slot.release();
            return snapshot;
        }
        const initialDocument = snapshot.val.document;
        return Ok({
            type: "events",
            run: async writer => {
                try {
                    await runWatch({ request, services, writer, initialDocument, afterRevision: afterRevision.val });
                }
                finally {
                    slot.release();
                }
            },
        });
    },
};
