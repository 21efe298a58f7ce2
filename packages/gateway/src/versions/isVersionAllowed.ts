import type { VersionRule } from "@ibislanding/rollouts";
import { match } from "ts-pattern";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** Whether a rule permits an upstream. */
export const isVersionAllowed = (
    { upstreamId, softwareVersion }: Pick<UpstreamRecord, "upstreamId" | "softwareVersion">,
    rule: VersionRule,
): boolean =>
    match(rule)
        .with({ kind: "any" }, () => true)
        .with(
            { kind: "only" },
            ({ version, upstreamIds }) =>
                softwareVersion === version && (upstreamIds === undefined || upstreamIds.has(upstreamId)),
        )
        .with({ kind: "except" }, ({ versions }) => !versions.has(softwareVersion))
        .exhaustive();
