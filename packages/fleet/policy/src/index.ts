export const packageName = '@turmericbay/policy';
