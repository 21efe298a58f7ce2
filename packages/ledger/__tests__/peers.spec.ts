import {
    type AccountId,
    type ActionKey,
    createDeferred,
    createFailure,
    createFakeClock,
    createHasher,
    createRandom,
    createSystemClock,
    ErrorCode,
    type Failure,
    type HostId,
} from "@ibislanding/core";
import {
    type ActionAnswer,
    type ActionLedger,
    type ActionRequest,
    type ClaimWriter,
    confirmedClaimStrategy,
    createActionLedger,
    createGrpcLedgerPeers,
    createLedgerService,
    defaultLedgerLimits,
    defaultLedgerTiming,
    type LedgerPeerHandler,
} from "@ibislanding/ledger";
import { createFakeKeyValueStore } from "@ibislanding/platform";
import { createPeerClients, createPeerServer } from "@ibislanding/protocol";
import { Err, Ok, type Result } from "ts-results";

const answer = { status: 201, headers: {}, body: Buffer.from("paid") };

const requestFor = (key: string, send: () => Promise<Result<ActionAnswer, Failure>>): ActionRequest => ({
    accountId: "account-1" as AccountId,
    key: key as ActionKey,
    requestSha256: "digest",
    timeoutMs: 5_000,
    service: { repeatable: false, deduplicates: false },
    send,
});

const startHosts = async () => {
    const clock = createSystemClock();
    const random = createRandom(3);
    const hasher = await createHasher();
    const store = createFakeKeyValueStore(createFakeClock());
    const clients = createPeerClients();
    const ledgers: ActionLedger[] = [];
    const handlerOf = (host: number): LedgerPeerHandler => ({
        claimStatus: claimId => ledgers[host]!.peerHandler.claimStatus(claimId),
        commit: (shard, operation) => ledgers[host]!.peerHandler.commit(shard, operation),
    });
    const servers = await Promise.all(
        [0, 1].map(async host =>
            (await createPeerServer({ address: "127.0.0.1:0", services: [createLedgerService(handlerOf(host))] }))
                .unwrap()
        ),
    );
    const writers = servers.map(({ address }, host): ClaimWriter => ({ hostId: `host-${host}` as HostId, address }));
    writers.forEach(self =>
        ledgers.push(createActionLedger({
            self,
            store,
            clock,
            random,
            hasher,
            peers: createGrpcLedgerPeers({ clients }),
            hosts: { liveEntryHosts: () => writers },
            limits: defaultLedgerLimits,
            timing: defaultLedgerTiming,
            strategy: confirmedClaimStrategy,
            onError: error => {
                throw error;
            },
        }))
    );
    return {
        ledgers,
        servers,
        [Symbol.asyncDispose]: async () => {
            await Promise.all(ledgers.map(ledger => ledger[Symbol.asyncDispose]()));
            await clients[Symbol.asyncDispose]();
            await Promise.all(servers.map(server => server[Symbol.asyncDispose]()));
        },
    };
};

describe("ledgers over gRPC", () => {
    it("run an action once, whichever host its retries reach", async () => {
        await using hosts = await startHosts();
        const [first, second] = hosts.ledgers as [ActionLedger, ActionLedger];
        const upstream = createDeferred<Result<ActionAnswer, Failure>>();
        const sent = createDeferred<void>();
        const send = (): Promise<Result<ActionAnswer, Failure>> => {
            sent.resolve();
            return upstream.promise;
        };
        const running = first.runAction(requestFor("key", send));
        await sent.promise;
        const resend = jest.fn(() => Promise.resolve(Ok(answer)));
        const early = await second.runAction(requestFor("key", resend));
        expect(early).toMatchObject({ err: true, val: { code: ErrorCode.ActionInProgress } });
        upstream.resolve(Ok(answer));
        expect(await running).toMatchObject({ ok: true, val: { replayed: false } });
        expect(await second.runAction(requestFor("key", resend))).toEqual(Ok({ answer, replayed: true }));
        expect(resend).not.toHaveBeenCalled();
    });

    it("answer outcome_unknown when the writer of an open claim is unreachable", async () => {
        await using hosts = await startHosts();
        const [first, second] = hosts.ledgers as [ActionLedger, ActionLedger];
        const sent = createDeferred<void>();
        const upstream = createDeferred<Result<ActionAnswer, Failure>>();
        const running = first.runAction(requestFor("key", () => {
            sent.resolve();
            return upstream.promise;
        }));
        await sent.promise;
        await hosts.servers[0]?.[Symbol.asyncDispose]();
        const resend = jest.fn(() => Promise.resolve(Ok(answer)));
        const retried = await second.runAction(requestFor("key", resend));
        expect(retried).toMatchObject({ err: true, val: { code: ErrorCode.OutcomeUnknown } });
        upstream.resolve(Ok(answer));
        expect((await running).ok).toBe(true);
        expect(await second.runAction(requestFor("key", resend))).toEqual(Ok({ answer, replayed: true }));
        expect(resend).not.toHaveBeenCalled();
    });

    it("run an action on retry after an upstream refused it", async () => {
        await using hosts = await startHosts();
        const [first, second] = hosts.ledgers as [ActionLedger, ActionLedger];
        const refuse = async () => Err(createFailure(ErrorCode.UpstreamRefused));
        const refused = await first.runAction(requestFor("key", refuse));
        expect(refused).toMatchObject({ err: true, val: { code: ErrorCode.NotRun } });
        expect(await second.runAction(requestFor("key", async () => Ok(answer)))).toMatchObject({ ok: true });
    });
});
