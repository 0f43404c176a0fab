/** Validation of the arguments that host programs pass to the packages that can be used without the service. */
package stileferry.validation;
