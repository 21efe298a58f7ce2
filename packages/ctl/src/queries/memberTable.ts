import { renderTable } from "../output/renderTable";
import type { MemberResponse } from "./memberResponse";

/** Renders the processes of the system as a table with their configuration revision and state. */
export const memberTable = (members: readonly MemberResponse[]): string =>
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
