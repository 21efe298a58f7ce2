import { createEventSplitter } from "./createEventSplitter";
import type { DeliveryOptions } from "./deliveryOptions";
import type { DeliveryResult } from "./deliveryResult";

/** Plain answers up to this size are sent only when they are complete, so that a broken one can be replaced. */
const MAXIMUM_HELD_BYTES = 262_144;

/** Passes the body of an answer on to the caller; ends the caller's answer only when the body is complete. */
export const deliverAnswer = ({ answer, isStream, splitsEvents, caller, onFirstByte }: DeliveryOptions): Promise<
    DeliveryResult
> => new Promise(resolve => {
    const { body } = answer;
    const splitter = splitsEvents ? createEventSplitter() : undefined;
    let held: Buffer[] = [];
    let heldBytes = 0;
    let hasBytes = false;
    let settled = false;

    const write = (chunk: Buffer): void => {
        if (chunk.length > 0 && !caller.write(chunk)) {
            body.pause();
            caller.onDrain(() => body.resume());
        }
    };

    const release = (): void => {
        held.forEach(write);
        held = [];
        heldBytes = 0;
    };

    const receive = (chunk: Buffer): void => {
        if (!hasBytes) {
            hasBytes = true;
            onFirstByte();
        }
        if (isStream) {
            write(splitter === undefined ? chunk : splitter.push(chunk));
            return;
        }
        held.push(chunk);
        heldBytes += chunk.length;
        if (caller.isStarted() || heldBytes > MAXIMUM_HELD_BYTES) {
            release();
        }
    };

    const settle = (result: DeliveryResult): void => {
        if (!settled) {
            settled = true;
            resolve(result);
        }
    };

    const breakOff = (reason: string): void => {
        answer.abandon();
        settle({ kind: "broken", reason, lastEventId: splitter?.lastEventId() });
    };

    body.on("data", receive);
    body.on("end", () => {
        // A reset is reported just after the end that it causes.
        setImmediate(() => {
            if (!body.complete || answer.hasFailed()) {
                breakOff("incomplete-answer");
                return;
            }
            release();
            write(splitter?.flush() ?? Buffer.alloc(0));
            caller.end();
            settle({ kind: "complete" });
        });
    });
    body.on("close", () => {
        if (!body.readableEnded) {
            breakOff("connection-lost");
        }
    });
});
