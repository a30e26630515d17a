export const packageName = '@turmericbay/grant-ledger';
