import type { RecordedAnswer } from "../model/recordedAnswer";
import type { ActionAnswer } from "./actionAnswer";

/** Converts an answer to its stored form; a body larger than `maximumBytes` is omitted. */
export const toRecordedAnswer = (answer: ActionAnswer, maximumBytes: number): RecordedAnswer => ({
    status: answer.status,
    headers: answer.headers,
    bodyBase64: answer.body.byteLength > maximumBytes ? undefined : Buffer.from(answer.body).toString("base64"),
});
