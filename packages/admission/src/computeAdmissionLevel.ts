import type { AccountId } from "@ibislanding/core";
import type { AdmissionLevel } from "./admissionLevel";
import type { DemandRow } from "./demandRow";

interface AccountDemand {
    readonly accountId: AccountId | "";
    /** Units at more urgent numbers, which are admitted. */
    readonly admittedUnits: number;
    /** Units at the urgency of the level. */
    readonly offeredUnits: number;
}

const ALL_ADMITTED: AdmissionLevel = { urgency: Infinity, admittedShares: new Map() };

const sumOffered = (rows: readonly DemandRow[]): number => rows.reduce((sum, row) => sum + row.offeredUnits, 0);

const unitsBelow = ({ admittedUnits, offeredUnits }: AccountDemand, limit: number): number =>
    Math.max(0, Math.min(offeredUnits, limit - admittedUnits));

/**
 * Returns the total of each account up to which the units at the level are admitted, so that their sum is the capacity. The
 * sum is piecewise linear in that total, with a bend where an account begins to take part and where it has all it offers.
 */
const findFairTotal = (accounts: readonly AccountDemand[], capacityUnits: number): number => {
    const bends = accounts
        .flatMap(({ admittedUnits, offeredUnits }) => [
            { at: admittedUnits, slope: 1 },
            { at: admittedUnits + offeredUnits, slope: -1 },
        ])
        .sort((left, right) => left.at - right.at);
    let total = 0;
    let rest = capacityUnits;
    let slope = 0;
    bends.find(bend => {
        const units = (bend.at - total) * slope;
        if (units >= rest && slope > 0) {
            total += rest / slope;
            return true;
        }
        rest -= units;
        total = bend.at;
        slope += bend.slope;
        return false;
    });
    return total;
};

/**
 * Returns the level at which the offered units of one service fit into the capacity. At the urgency that fits only in part,
 * the accounts get max-min fair totals, in which their more urgent units count: no account gets more at the expense of one
 * that has less.
 *
 * Handles an overload in which each host sees a few requests a second. All hosts compute the same level from the same sums,
 * while an order that each host makes of its own requests is no order of all of them.
 */
export const computeAdmissionLevel = (rows: readonly DemandRow[], capacityUnits: number): AdmissionLevel => {
    const urgencies = [...new Set(rows.map(({ urgency }) => urgency))].sort((left, right) => left - right);
    const urgency = urgencies.find(candidate =>
        sumOffered(rows.filter(row => row.urgency <= candidate)) > capacityUnits
    );
    if (urgency === undefined) {
        return ALL_ADMITTED;
    }
    const moreUrgent = rows.filter(row => row.urgency < urgency);
    const accounts = [...new Set(rows.filter(row => row.urgency === urgency).map(({ accountId }) => accountId))]
        .map((accountId): AccountDemand => ({
            accountId,
            admittedUnits: sumOffered(moreUrgent.filter(row => row.accountId === accountId)),
            offeredUnits: sumOffered(rows.filter(row => row.urgency === urgency && row.accountId === accountId)),
        }));
    const fairTotal = findFairTotal(accounts, Math.max(0, capacityUnits - sumOffered(moreUrgent)));
    return {
        urgency,
        admittedShares: new Map(accounts.map(account => [
            account.accountId,
            account.offeredUnits > 0 ? unitsBelow(account, fairTotal) / account.offeredUnits : 1,
        ])),
    };
};
