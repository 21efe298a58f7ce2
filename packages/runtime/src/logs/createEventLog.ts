import { createLogger as createWinstonLogger, format } from "winston";
import Transport from "winston-transport";
import type { EventLog } from "./eventLog";
import type { EventLogOptions } from "./eventLogOptions";

/** Refill rate and size of the token bucket. Lines about failures are the last to be dropped. */
const MAXIMUM_LINES_PER_SECOND = 400;

/** Tokens of the bucket that are reserved for failures: lines about successful requests can't use them. */
const RESERVED_FAILURE_LINES = 200;

/** Bytes buffered for a stalled reader above which lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Minimum interval between two reports of dropped lines. */
const DROPPED_REPORT_INTERVAL_MS = 5_000;

const SUCCESS_OUTCOME = "answered";

const createLineTransport = (stream: NodeJS.WritableStream): Transport =>
    new Transport({
        log: (line: Record<symbol, string>, next: () => void) => {
            stream.write(`${line[Symbol.for("message")]}\n`);
            next();
        },
    });

/**
 * Creates a log that writes JSON lines to a stream. A token bucket limits the rate of lines, and lines are dropped
 * instead of waiting for a slow reader, or if there is no reader any more.
 */
export const createEventLog = ({ stream, clock, fields }: EventLogOptions): EventLog => {
    const winston = createWinstonLogger({
        level: "info",
        defaultMeta: fields,
        format: format.combine(format.timestamp(), format.json()),
        transports: [createLineTransport(stream)],
    });
    let tokens = MAXIMUM_LINES_PER_SECOND;
    let refilledAtMs = clock.monotonicMs();
    let dropped = 0;
    let reportedDropped = 0;
    let reportedAtMs = clock.monotonicMs();

    // Without a listener, a line that can't be written would end the process.
    stream.on("error", () => {
        dropped++;
    });

    const refill = (nowMs: number): void => {
        tokens = Math.min(MAXIMUM_LINES_PER_SECOND, tokens + (nowMs - refilledAtMs) * MAXIMUM_LINES_PER_SECOND / 1_000);
        refilledAtMs = nowMs;
    };

    const reportDropped = (nowMs: number): void => {
        if (dropped > reportedDropped && nowMs - reportedAtMs >= DROPPED_REPORT_INTERVAL_MS) {
            winston.info("lines_dropped", { lines: dropped - reportedDropped });
            reportedDropped = dropped;
            reportedAtMs = nowMs;
        }
    };

    return {
        write: (event, eventFields) => {
            const nowMs = clock.monotonicMs();
            refill(nowMs);
            const reservedLines = eventFields["outcome"] === SUCCESS_OUTCOME ? RESERVED_FAILURE_LINES : 0;
            const bufferedBytes = (stream as { readonly writableLength?: number; }).writableLength ?? 0;
            if (tokens < 1 + reservedLines || bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
                dropped++;
                return;
            }
            tokens--;
            winston.info(event, eventFields);
            reportDropped(nowMs);
        },
        droppedLines: () => dropped,
    };
};
