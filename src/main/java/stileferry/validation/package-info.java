/** Checks of what host programs hand to the packages that are usable without the service. */
package stileferry.validation;
