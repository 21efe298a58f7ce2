import type { JsonRequest, JsonResponse } from "@ibislanding/platform";
import type { RunningSystem } from "@ibislanding/runner";
import type { Result } from "ts-results";

const TIMEOUT_MS = 5_000;
const UNLIMITED = 1_000_000;
const PROPAGATION_WAIT_MS = 2_000;

type SendRequest = (request: JsonRequest) => Promise<Result<JsonResponse, unknown>>;

/**
 * Raises the limits of the first client account above what a benchmark can reach, and waits a fixed time for the change
 * to reach the entry host.
 */
export const raiseAccountLimit = async (sendRequest: SendRequest, system: RunningSystem): Promise<void> => {
    const adminUrl = system.ofProgram("ibis-admin")[0]?.urls["admin"];
    const headers = { authorization: `Bearer ${system.operatorToken}`, "operation-id": "benchmark-limits" };
    const url = `${adminUrl}/v1/resources/ClientAccount/${system.deployment.clientAccounts[0]?.name}`;
    const current = (await sendRequest({ method: "GET", url, headers, timeoutMs: TIMEOUT_MS })).unwrap();
    const { kind, name, team, spec } = JSON.parse(current.body) as Record<string, unknown>;
    const limits = { requestsPerSecond: UNLIMITED, burstRequests: UNLIMITED, maximumConcurrent: UNLIMITED };
    const manifest = { kind, name, team, spec: { ...spec as object, ...limits } };
    const body = JSON.stringify({ changes: [{ action: "apply", manifest }] });
    await sendRequest({ method: "POST", url: `${adminUrl}/v1/operations`, headers, body, timeoutMs: TIMEOUT_MS });
    await new Promise(resolve => setTimeout(resolve, PROPAGATION_WAIT_MS));
};
