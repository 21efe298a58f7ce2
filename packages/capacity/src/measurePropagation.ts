import type { JsonRequest, JsonResponse } from "@ibislanding/platform";
import type { RunningSystem } from "@ibislanding/runner";
import type { Result } from "ts-results";

const TIMEOUT_MS = 5_000;
const POLL_MS = 20;
const MAXIMUM_WAIT_MS = 20_000;
const REVISION_PATTERN = /^ibis_configuration_revision (\d+)$/m;

type SendRequest = (request: JsonRequest) => Promise<Result<JsonResponse, unknown>>;

/**
 * Changes one resource and returns the time in ms from the acceptance of the change until the last entry host has the
 * new revision. Stops waiting after `MAXIMUM_WAIT_MS`, even when a host does not have it yet.
 */
export const measurePropagation = async (
    sendRequest: SendRequest,
    system: RunningSystem,
    changeNumber: number,
): Promise<number> => {
    const adminUrl = system.ofProgram("ibis-admin")[0]?.urls["admin"];
    const headers = { authorization: `Bearer ${system.operatorToken}`, "operation-id": `capacity-${changeNumber}` };
    const account = system.deployment.clientAccounts[0]?.name;
    const url = `${adminUrl}/v1/resources/ClientAccount/${account}`;
    const current = (await sendRequest({ method: "GET", url, headers, timeoutMs: TIMEOUT_MS })).unwrap();
    const { kind, name, team, spec } = JSON.parse(current.body) as Record<string, unknown>;
    const manifest = { kind, name, team, spec: { ...spec as object, burstRequests: 100 + changeNumber } };
    const body = JSON.stringify({ changes: [{ action: "apply", manifest }] });
    const path = `${adminUrl}/v1/operations`;
    const accepted = (await sendRequest({ method: "POST", url: path, headers, body, timeoutMs: TIMEOUT_MS })).unwrap();
    const { revision } = JSON.parse(accepted.body) as { revision: number; };
    const startMs = performance.now();

    const waitForRevision = async (operationsUrl: string): Promise<void> => {
        while (performance.now() < startMs + MAXIMUM_WAIT_MS) {
            const answer = await sendRequest({ method: "GET", url: `${operationsUrl}/metrics`, timeoutMs: TIMEOUT_MS });
            if (answer.ok && Number(REVISION_PATTERN.exec(answer.val.body)?.[1]) >= revision) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    };
    await Promise.all(system.ofProgram("ibis-entry").map(({ urls }) => waitForRevision(urls["operations"] ?? "")));
    return performance.now() - startMs;
};
