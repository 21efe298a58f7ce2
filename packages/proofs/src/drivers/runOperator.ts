import { createHttpClient, type JsonResponse } from "@ibislanding/platform";
import { setTimeout as pause } from "node:timers/promises";
import type { DriverContext } from "./driverContext";

const APPLY_TIMEOUT_MS = 5_000;
const PERIOD_MS = 300;

interface Accepted {
    readonly revision: number;
}

const isAccepted = (answer: JsonResponse): boolean => answer.status === 200 || answer.status === 201;

/** Runs an operator that repeatedly changes the same client account limit, concurrently with other operators. */
export const runOperator = async (context: DriverContext, name: string): Promise<void> => {
    const { system, history, random } = context;
    await using http = createHttpClient();
    const account = system.deployment.clientAccounts.at(-1)?.name ?? "";

    const call = (method: "GET" | "POST", path: string, body: unknown, headers: Record<string, string> = {}) => {
        const admin = system.ofProgram("ibis-admin")[0];
        return http.send({
            method,
            url: `${admin?.urls["admin"]}${path}`,
            headers: { authorization: `Bearer ${system.operatorToken}`, ...headers },
            body: body === undefined ? undefined : JSON.stringify(body),
            timeoutMs: APPLY_TIMEOUT_MS,
        });
    };

    const apply = async (count: number): Promise<void> => {
        const current = await call("GET", `/v1/resources/ClientAccount/${account}`, undefined);
        if (current.err || current.val.status !== 200) {
            return;
        }
        const { kind, name: resource, team, spec, version } = JSON.parse(current.val.body) as Record<string, unknown>;
        const id = `${name}-${count}`;
        const manifest = {
            kind,
            name: resource,
            team,
            spec: { ...spec as object, burstRequests: 10 + random.nextInt(1_000) },
        };
        history.write(name, {
            type: "invoke",
            operation: "apply",
            id,
            resource: `${String(kind)}/${String(resource)}`,
        });
        const body = { changes: [{ action: "apply", manifest, expectedVersion: version }] };
        const answer = await call("POST", "/v1/operations", body, { "operation-id": `${id}-${random.nextHex(6)}` });
        if (answer.ok && isAccepted(answer.val)) {
            const { revision } = JSON.parse(answer.val.body) as Accepted;
            history.write(name, { type: "ok", operation: "apply", id, revision });
            return;
        }
        const code = answer.ok ? `status-${answer.val.status}` : answer.val;
        history.write(name, { type: code === "status-409" ? "fail" : "info", operation: "apply", id, code });
    };

    for (let count = 0; !context.signal.aborted; count++) {
        await apply(count);
        await pause(PERIOD_MS);
    }
};
