/** Maps claims on idempotency keys to the peer protocol: calls to the owner of a key, and handlers for calls from peers. */
import {Verdict} from '@turmericbay/claims';
import type {Claims, ClaimPeer} from '@turmericbay/claims';
import {ClaimVerdict, Settlement as SettlementMessage} from '@turmericbay/peer-protocol';
import type {PeerServiceImplementation} from '@turmericbay/peer-protocol';
import {Hop} from '@turmericbay/telemetry';
import type {Tracing} from '@turmericbay/telemetry';
import {Settlement} from '@turmericbay/types';
import type {ProcessIdentity} from '@turmericbay/types';
import type {PeerExchange} from './peer-exchange.js';

const verdictMessages: Readonly<Record<Verdict, ClaimVerdict>> = {
	[Verdict.Granted]: ClaimVerdict.GRANTED,
	[Verdict.Running]: ClaimVerdict.RUNNING,
	[Verdict.Run]: ClaimVerdict.RUN,
	[Verdict.Unknown]: ClaimVerdict.UNKNOWN,
	[Verdict.NotRecorded]: ClaimVerdict.NOT_RECORDED,
	[Verdict.Reused]: ClaimVerdict.REUSED,
	[Verdict.NotOwner]: ClaimVerdict.NOT_OWNER,
	[Verdict.Expired]: ClaimVerdict.EXPIRED,
};

const settlementMessages: Readonly<Record<Settlement, SettlementMessage>> = {
	[Settlement.Run]: SettlementMessage.RUN,
	[Settlement.NotRun]: SettlementMessage.NOT_RUN,
	[Settlement.Unknown]: SettlementMessage.UNKNOWN,
};

const verdicts = new Map(Object.values(Verdict).map(verdict => [verdictMessages[verdict], verdict]));
const settlements = new Map(Object.values(Settlement).map(settlement => [settlementMessages[settlement], settlement]));

export const createClaimPeer = (options: {
	readonly exchange: () => PeerExchange;
	readonly identity: ProcessIdentity;
	readonly tracing: Tracing;
}): ClaimPeer => ({
	async claim({to, message}) {
		const peer = options.exchange().findPeer(to.instance);
		const span = options.tracing.startSpan({hop: Hop.EntryToPeer, parent: message.traceparent, attributes: {peer: to.instance}});
		const headers = span.traceparent === undefined ? undefined : {traceparent: span.traceparent};
		const result = await peer?.client.call(async (service, callOptions) => service.claim({...message, ...options.identity}, {...callOptions, headers}));
		span.end({failure: result?.isErr() ? result.error.code : undefined});
		return result?.isOk() ? verdicts.get(result.value.verdict) : undefined;
	},
	async settle({to, message}) {
		const peer = options.exchange().findPeer(to.instance);
		const settlement = settlementMessages[message.settlement];
		const result = await peer?.client.call(async (service, callOptions) => service.settleClaim({...message, settlement}, callOptions));
		return result?.isOk() ? result.value.recorded : false;
	},
});

/** Handlers of `Claim` and `SettleClaim`, which peers call at the instance that owns the partition of the key. */
export const createClaimHandlers = (claims: Claims): Pick<PeerServiceImplementation, 'claim' | 'settleClaim'> => ({
	async claim({
		key, team, queue, fingerprint, attempt,
	}) {
		const verdict = await claims.handleClaim({
			key, team, queue, fingerprint, attempt,
		});
		return {verdict: verdictMessages[verdict]};
	},
	settleClaim({
		key, team, queue, attempt, settlement,
	}) {
		const knownSettlement = settlements.get(settlement);
		return {
			recorded: knownSettlement !== undefined && claims.handleSettle({
				key, team, queue, attempt, settlement: knownSettlement,
			}),
		};
	},
});
