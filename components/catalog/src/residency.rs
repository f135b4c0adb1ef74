//! Defines in which regions a request may be served.

use std::collections::BTreeSet;

derives::data! {
    /// The regions in which a request may be served, cached and stored. The default is all of them.
    #[derive(Default, Eq)]
    pub struct Residency {
        /// Names of the regions; all if it is `None`, none if it is empty.
        regions: Option<BTreeSet<String>>,
    }
}

impl Residency {
    /// Restricts requests to the named regions. Empty names are left out: a server whose region isn't
    /// known is in none of them.
    ///
    /// ```
    /// use catalog::Residency;
    ///
    /// let riga = Residency::only(["riga".to_string()]);
    /// assert!(riga.allows("riga") && !riga.allows("kurzeme"));
    /// assert!(!Residency::only([String::new()]).allows(""));
    /// assert!(Residency::default().allows("kurzeme"));
    /// ```
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        let named = regions.into_iter().filter(|region| !region.is_empty());
        Residency { regions: Some(named.collect()) }
    }

    /// The regions that both allow.
    ///
    /// ```
    /// use catalog::Residency;
    ///
    /// let both = Residency::only(["riga".to_string(), "kurzeme".to_string()]);
    /// let riga = Residency::only(["riga".to_string()]);
    /// assert_eq!(both.intersect(&riga), riga);
    /// assert_eq!(riga.intersect(&Residency::default()), riga);
    /// ```
    pub fn intersect(&self, other: &Residency) -> Residency {
        let regions = match (&self.regions, &other.regions) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (own, others) => own.clone().or_else(|| others.clone()),
        };
        Residency { regions }
    }

    /// Whether a server in this region may serve the request.
    pub fn allows(&self, region: &str) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// Names of the regions, in alphabetical order; `None` if all are allowed.
    pub fn regions(&self) -> Option<impl Iterator<Item = &str>> {
        self.regions.as_ref().map(|regions| regions.iter().map(String::as_str))
    }
}
