/** Claims as this instance makes them for its callers and answers them for its peers. */
import {ClaimVerdict} from '@turmericbay/peer-protocol';
import type {ClaimRequest, SettleClaimRequest} from '@turmericbay/peer-protocol';
import type {ClaimPort} from '@turmericbay/types';
import {ProblemCode} from '@turmericbay/types';

export type ClaimService = ClaimPort & {
	answerClaim(request: ClaimRequest): Promise<{verdict: ClaimVerdict}>;
	answerSettlement(request: SettleClaimRequest): Promise<{recorded: boolean}>;
	/** From now on this instance hands its partitions over. */
	startDraining(): void;
	isDrained(): boolean;
};

/** Refuses every claim; requests that may not be repeated are then not run. */
export const createRefusingClaims = (): ClaimService => ({
	claim: async () => ({
		type: 'refused',
		problem: {code: ProblemCode.ClaimNotRecorded, detail: 'This instance records no claims.'},
	}),
	settle: () => undefined,
	answerClaim: async () => ({verdict: ClaimVerdict.NOT_RECORDED}),
	answerSettlement: async () => ({recorded: false}),
	startDraining: () => undefined,
	isDrained: () => true,
});
