// Members, notices and usage
export type { Member } from "./model/member";
export type { MemberIdentity } from "./model/memberIdentity";
export type { MemberState } from "./model/memberState";
export type { UpstreamNotice } from "./model/upstreamNotice";
export type { UpstreamNoticeKind } from "./model/upstreamNoticeKind";
export type { UsageReport } from "./model/usageReport";

// Protocol parameters
export { defaultMembershipPolicy } from "./model/defaultMembershipPolicy";
export { defaultMembershipTiming } from "./model/defaultMembershipTiming";
export type { MembershipPolicy } from "./model/membershipPolicy";
export type { MembershipTiming } from "./model/membershipTiming";

// State machine
export { handleEvent } from "./commands/handleEvent";
export { createMembershipState } from "./state/createMembershipState";
export type { MembershipEffect } from "./state/membershipEffect";
export type { MembershipEvent } from "./state/membershipEvent";
export type { MembershipState } from "./state/membershipState";

// Task and its ports
export { createMembershipService } from "./grpc/createMembershipService";
export { createMembershipTransport } from "./grpc/createMembershipTransport";
export { createMembership } from "./task/createMembership";
export type { Membership } from "./task/membership";
export type { MembershipCounters } from "./task/membershipCounters";
export type { MembershipDump } from "./task/membershipDump";
export type { MembershipOptions } from "./task/membershipOptions";
export type { MembershipTransport } from "./task/membershipTransport";
