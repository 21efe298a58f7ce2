import { createHttpClient, type JsonResponse } from "@ibislanding/platform";
import { setTimeout as pause } from "node:timers/promises";
import type { DriverContext } from "./driverContext";
import { pickEntry } from "./pickEntry";

const ACTION_TIMEOUT_MS = 12_000;
const ATTEMPTS = 4;
const RETRY_PAUSE_MS = 150;

/** Error codes that guarantee that the action was not executed. */
const NOT_RUN_CODES = new Set([
    "not_run",
    "over_limit",
    "overloaded",
    "not_ready",
    "unauthenticated",
    "unknown_service",
]);

const codeOf = (response: JsonResponse): string => {
    try {
        return (JSON.parse(response.body) as { code?: string; }).code ?? `status-${response.status}`;
    }
    catch {
        return "malformed";
    }
};

/** Runs a caller that sends actions and retries each with the same idempotency key, up to a number of attempts. */
export const runActionCaller = async (context: DriverContext, name: string): Promise<void> => {
    const { system, history, random } = context;
    const { plainService, clientAccounts } = system.deployment;
    const key = clientAccounts[0]?.key ?? "";
    await using http = createHttpClient();

    const attempt = async (actionKey: string, id: string): Promise<boolean> => {
        const url = await pickEntry(context);
        if (url === undefined) {
            return false;
        }
        history.write(name, { type: "invoke", operation: "action", id, service: plainService, key: actionKey });
        const answer = await http.send({
            method: "POST",
            url: `${url}/services/${plainService}/orders`,
            headers: { authorization: `Bearer ${key}`, "idempotency-key": actionKey },
            body: JSON.stringify({ order: actionKey }),
            timeoutMs: ACTION_TIMEOUT_MS,
        });
        if (answer.ok && answer.val.status === 200) {
            history.write(name, { type: "ok", operation: "action", id, answer: answer.val.body });
            return true;
        }
        const code = answer.ok ? codeOf(answer.val) : answer.val;
        // Without a connection, the request cannot have been executed.
        const isNotRun = code === "not-sent" || NOT_RUN_CODES.has(code);
        history.write(name, { type: isNotRun ? "fail" : "info", operation: "action", id, code });
        return false;
    };

    for (let count = 0; !context.signal.aborted; count++) {
        const actionKey = `${name}-${count}-${random.nextHex(6)}`;
        for (let index = 0; index < ATTEMPTS; index++) {
            if (await attempt(actionKey, `${actionKey}-${index}`)) {
                break;
            }
            await pause(RETRY_PAUSE_MS);
        }
    }
};
