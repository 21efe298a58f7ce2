import { createByteCollector, guardEvent } from "@ibislanding/core";
import { createEventSplitter } from "./createEventSplitter";
import type { ReceivedBody } from "./receivedBody";
import type { RelayOptions } from "./relayOptions";
import type { RelayResult } from "./relayResult";

/** Plain responses up to this size are buffered until they are complete, so that an incomplete one can be retried. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Maximum size of one event of a stream; a larger one is treated as bytes that are not an event. */
const MAXIMUM_EVENT_BYTES = 262_144;

/** Relays the body of a response to the client; the caller ends the client's response. */
export const relayResponse = (
    { response, isStream, hasEvents, afterEventId, clientResponse, memory, onFirstByte, onEvents, onError }:
        RelayOptions,
): Promise<
    RelayResult
> => new Promise(resolve => {
    const { body } = response;
    const splitter = hasEvents ? createEventSplitter(afterEventId) : undefined;
    let sizeBytes = 0;
    const arrived = createByteCollector();
    const buffered = createByteCollector();
    let heldBytes = 0;
    let isSettled = false;
    let wasPaused = false;

    const write = (chunk: Buffer): void => {
        if (chunk.length > 0 && !clientResponse.write(chunk)) {
            body.pause();
            wasPaused = true;
            clientResponse.onDrain(() => body.resume());
        }
    };

    const flushBuffer = (): void => write(buffered.take());

    const received = (): ReceivedBody => ({
        delimiter: response.delimiter,
        sizeBytes,
        endsInsideEvent: splitter !== undefined && splitter.pendingBytes() > 0,
    });

    const settle = (defect: string | undefined, isBrokenOff = false): void => {
        if (!isSettled) {
            isSettled = true;
            if (buffered.sizeBytes() > 0) {
                buffered.take();
                memory.release(heldBytes);
            }
            resolve({ defect, isBrokenOff, lastEventId: splitter?.lastEventId(), received: received() });
        }
    };

    const fail = (defect: string, isBrokenOff = false): void => {
        response.closeConnection();
        settle(defect, isBrokenOff);
    };

    const handleError = (error: unknown): void => {
        onError(error);
        fail("internal-error", true);
    };

    /** Keeps a part of a plain response; returns false if there is no memory for it. */
    const buffer = (chunk: Buffer): boolean => {
        buffered.add(chunk);
        const grownBytes = buffered.heldBytes() - heldBytes;
        const isHeld = grownBytes <= 0 || memory.tryHold(grownBytes);
        heldBytes += isHeld ? Math.max(0, grownBytes) : 0;
        return isHeld;
    };

    const relayArrived = (): void => {
        const chunk = arrived.take();
        if (isSettled || chunk.length === 0) {
            return;
        }
        response.recordProgress();
        if (sizeBytes === 0) {
            onFirstByte();
        }
        sizeBytes += chunk.length;
        if (splitter !== undefined) {
            const isDelayed = wasPaused;
            wasPaused = false;
            write(splitter.push(chunk));
            onEvents?.(splitter.completedEvents(), isDelayed, splitter.lastEventId());
            const defect = splitter.defect()
                ?? (splitter.pendingBytes() > MAXIMUM_EVENT_BYTES ? "event-too-large" : undefined);
            if (defect !== undefined) {
                fail(defect, true);
            }
            return;
        }
        if (isStream) {
            write(chunk);
            return;
        }
        if (clientResponse.isStarted()) {
            write(chunk);
            return;
        }
        if (!buffer(chunk) || buffered.sizeBytes() > MAXIMUM_BUFFERED_BYTES) {
            flushBuffer();
        }
    };

    const relayGuarded = guardEvent(relayArrived, handleError);

    /** Parts that arrive in one read are relayed together: an upstream may send chunks of a byte. */
    const receive = (chunk: Buffer): void => {
        if (arrived.sizeBytes() === 0) {
            process.nextTick(relayGuarded);
        }
        arrived.add(chunk);
    };

    const finish = (): void => {
        if (!body.complete || response.hasFailed()) {
            fail("incomplete-answer");
            return;
        }
        if (received().endsInsideEvent) {
            fail("ended-inside-event");
            return;
        }
        if (!isSettled) {
            flushBuffer();
        }
        settle(undefined);
    };

    body.on("data", receive);
    // A reset is reported just after the end event that it causes.
    body.on("end", () => void setImmediate(guardEvent(finish, handleError)));
    body.on("close", () => {
        relayGuarded();
        if (!body.readableEnded) {
            fail("connection-lost");
        }
    });
    // The connection may have been lost between the head and this call.
    if (body.destroyed) {
        fail("connection-lost");
    }
});
