import { createHttpClient } from "@ibislanding/platform";
import type { DriverContext } from "../drivers/driverContext";

const TIMEOUT_MS = 10_000;

interface Effects {
    readonly effects: readonly { readonly idempotencyKey: string; readonly count: number; }[];
}

/** Records how often each action was executed, as counted by the replicas of the plain service. */
export const collectEffects = async ({ system, history }: DriverContext): Promise<void> => {
    await using http = createHttpClient();
    const service = system.deployment.plainService;
    const replicas = system.ofProgram("ibis-standin").filter(({ name }) => name.startsWith(`${service}-`));
    await Promise.all(replicas.map(async ({ urls }) => {
        const url = `${urls["standIn"]}/effects`;
        const answer = await http.send({ method: "GET", url, timeoutMs: TIMEOUT_MS });
        const { effects } = JSON.parse(answer.unwrap().body) as Effects;
        effects.forEach(({ idempotencyKey: key, count }) =>
            history.write("effects", { type: "observe", subject: "effects", service, key, count })
        );
    }));
};
