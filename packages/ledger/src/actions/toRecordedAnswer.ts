import type { RecordedAnswer } from "../model/recordedAnswer";
import type { ActionAnswer } from "./actionAnswer";

/** Returns an answer as the ledger keeps it, without the body when that exceeds the bound. */
export const toRecordedAnswer = (answer: ActionAnswer, maximumBytes: number): RecordedAnswer => ({
    status: answer.status,
    headers: answer.headers,
    bodyBase64: answer.body.byteLength > maximumBytes ? undefined : Buffer.from(answer.body).toString("base64"),
});
