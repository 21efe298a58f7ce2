import type { RunningSystem } from "../system/runningSystem";

/** Returns example commands to try against a running system, as text for the terminal. */
export const formatNextSteps = (system: RunningSystem): string => {
    const entry = system.ofProgram("ibis-entry")[0];
    const admin = system.ofProgram("ibis-admin")[0];
    const key = system.deployment.clientAccounts[0]?.key;
    const body = JSON.stringify({
        model: system.deployment.model,
        stream: true,
        messages: [{ role: "user", content: "When do I feed a lawn?" }],
    });
    return [
        "Try next:",
        `  curl -N ${entry?.urls["callers"]}/v1/chat/completions -H 'Authorization: Bearer ${key}' -d '${body}'`,
        `  curl ${
            entry?.urls["callers"]
        }/services/${system.deployment.plainService}/orders -H 'Authorization: Bearer ${key}' `
        + "-H 'Idempotency-Key: order-1' -d '{\"amount\":120}'",
        `  export IBIS_SERVER=${admin?.urls["admin"]} IBIS_TOKEN=${system.operatorToken}`,
        "  node dist/ibisctl.js get Service",
        `  node dist/ibisctl.js apply -f ${system.deployment.resourcesDirectory} --wait`,
        `  curl ${entry?.urls["operations"]}/state`,
        "Ctrl-C stops everything gracefully.",
        "",
    ].join("\n");
};
