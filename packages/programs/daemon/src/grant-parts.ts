/** The holder of team limits, fed with the document and connected to the peers. */
import type {DocumentWatch} from '@turmericbay/document-watch';
import {createGrantHolder} from '@turmericbay/grant-ledger';
import type {GrantHolder, GrantHolderOptions} from '@turmericbay/grant-ledger';
import type {PeerExchange} from './peer-exchange.js';
import {listTeamLimits} from './team-limits.js';

export const createGrantParts = (options: Omit<GrantHolderOptions, 'peer'> & {
	readonly documentWatch: DocumentWatch;
	readonly exchange: PeerExchange;
}): GrantHolder => {
	const {documentWatch, exchange, identity} = options;
	const grants = createGrantHolder({
		...options,
		peer: {
			async requestTransfer({to, team, units}) {
				const row = exchange.findRow(to.instance);
				const answer = await row?.client.call(async (service, callOptions) => service.transferGrant({team, units, ...identity}, callOptions));
				return answer?.isOk() ? answer.value.units : 0;
			},
		},
	});
	documentWatch.subscribe(({version, document}) => {
		grants.setLimits({version, limits: listTeamLimits(document)});
	});
	return grants;
};
