/** Expected free capacity of one service at one urgency, and the refused requests to which it is promised. */
export interface ReturnCalendar {
    /**
     * Reserves a place for a refused request, which replaces an earlier one of the same request, and returns its time. If there
     * is no place until `latestMs`, the returned time is before it without a place.
     */
    readonly reserve: (
        place: { readonly requestId: string; readonly units: number; readonly unitsPerStep: number; },
        nowMs: number,
        latestMs: number,
    ) => number;
    /** Whether the request has a place whose time has come; it is used up then. */
    readonly claim: (requestId: string, nowMs: number) => boolean;
    /** Units that are promised for this time and are likely to be claimed at this host. */
    readonly promised: (nowMs: number) => number;
    readonly hasPlaces: () => boolean;
}
