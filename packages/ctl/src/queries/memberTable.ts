import { renderTable } from "../output/renderTable";
import type { MemberAnswer } from "./memberAnswer";

/** Renders the processes of the system as a table. */
export const memberTable = (members: readonly MemberAnswer[]): string =>
    renderTable([
        ["HOST", "ROLE", "AVAILABILITY ZONE", "REVISION", "STATE"],
        ...members.map(({ hostId, role, availabilityZone, configurationRevision, state }) => [
            hostId,
            role,
            availabilityZone,
            String(configurationRevision),
            state,
        ]),
    ]);
