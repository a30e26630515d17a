/** Handles the calls of other entry instances. */
import {create} from '@bufbuild/protobuf';
import type {DocumentWatch} from '@turmericbay/document-watch';
import type {GrantHolder} from '@turmericbay/grant-ledger';
import {ExchangeResponseSchema} from '@turmericbay/peer-protocol';
import type {Knowledge, PeerServiceImplementation, TeamLoad} from '@turmericbay/peer-protocol';
import type {Claims} from '@turmericbay/claims';
import {createClaimHandlers} from './claims-service.js';
import type {InstanceListSource} from './instance-list-source.js';

export const createPeerService = (options: {
	readonly documentWatch: DocumentWatch;
	readonly grants: GrantHolder;
	readonly claims: Claims;
	readonly listSource: InstanceListSource;
	readonly getKnowledge: () => Knowledge;
	/** Counts per team at this instance, for a status call that a peer handles. */
	readonly listTeams: () => ReadonlyArray<Pick<TeamLoad, 'team' | 'running' | 'queued' | 'granted'>>;
	readonly onKnowledge: (knowledge: Knowledge) => void;
}): PeerServiceImplementation => ({
	exchange({knowledge, wantsListNewerThanMs, wantsTeams}) {
		if (knowledge !== undefined) {
			options.onKnowledge(knowledge);
		}

		const listed = options.listSource.selectListForPeer({peer: knowledge, newerThanMilliseconds: wantsListNewerThanMs});
		return create(ExchangeResponseSchema, {
			knowledge: options.getKnowledge(),
			listed: [...listed ?? []],
			listIncluded: listed !== undefined,
			teams: wantsTeams ? [...options.listTeams()] : [],
		});
	},
	getDocument: () => ({envelopeJson: options.documentWatch.currentJson()}),
	pushDocument: ({envelopeJson}) => ({documentVersion: BigInt(options.documentWatch.receivePushedDocument({envelopeJson}))}),
	...createClaimHandlers(options.claims),
	async transferGrant({team, units, instance, incarnation}) {
		return {units: await options.grants.handleTransfer({team, units, holder: {instance, incarnation}})};
	},
});
