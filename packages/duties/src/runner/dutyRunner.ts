import type { FencingNumber } from "@ibislanding/core";

/** Contends for the duties' lease and runs the duties while it holds it. */
export interface DutyRunner extends AsyncDisposable {
    /** Fencing number for the next call; undefined while this host must not call the platform. */
    readonly fencingNumber: () => FencingNumber | undefined;
    /** Records that a call with this number was refused because a greater one is known. */
    readonly recordRefusal: (fencingNumber: FencingNumber) => void;
}
