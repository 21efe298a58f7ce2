import { match } from "ts-pattern";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { VersionRule } from "./versionRule";

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
        .with({ kind: "except" }, ({ versions }) => !versions.includes(softwareVersion))
        .exhaustive();
